"""The settings of one router: checked once, frozen after."""
