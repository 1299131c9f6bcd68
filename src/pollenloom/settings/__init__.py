"""Process settings of one router."""
