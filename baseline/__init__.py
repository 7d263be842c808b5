"""The naive version of the tier: daemons choose servers without coordination."""
