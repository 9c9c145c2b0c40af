"""Exchange between the processes of rosemarynotch."""
