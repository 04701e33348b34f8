"""Command line of the benchmarks.

Usage: ``python -m benchmarks NAME [--json] [--quick]``, where ``NAME`` is a module
of this package.
"""

import argparse
import importlib
import json
import pkgutil

import benchmarks


def main() -> None:
    """Run the benchmark that the command line names and print its figures."""
    names = sorted(m.name for m in pkgutil.iter_modules(benchmarks.__path__))
    parser = argparse.ArgumentParser(prog="python -m benchmarks")
    parser.add_argument("name", choices=[n for n in names if n != "__main__"])
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--quick", action="store_true", help="smaller sizes")
    args = parser.parse_args()
    figures = importlib.import_module(f"benchmarks.{args.name}").run(quick=args.quick)
    if args.json:
        print(json.dumps(figures, indent=2, default=str))
        return
    print_figures(figures)


def print_figures(figures: dict, indent: str = "") -> None:
    """Print nested figures as indented lines."""
    for name, value in figures.items():
        if isinstance(value, dict):
            print(f"{indent}{name}:")
            print_figures(value, indent + "  ")
        else:
            print(f"{indent}{name}: {value}")


if __name__ == "__main__":
    main()
