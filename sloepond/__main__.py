"""`python -m sloepond` is the command `sloepond`."""

from sloepond.cli.main import main

if __name__ == "__main__":
    main()
