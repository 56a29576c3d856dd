"""Tests of scripts/capacity."""

import importlib.machinery
import importlib.util
import json
import pathlib
import sys
import unittest

sys.dont_write_bytecode = True
SCRIPTS = pathlib.Path(__file__).resolve().parent.parent.parent / "scripts"
sys.path.insert(0, str(SCRIPTS))
LOADER = importlib.machinery.SourceFileLoader("capacity", str(SCRIPTS / "capacity"))
capacity = importlib.util.module_from_spec(importlib.util.spec_from_loader("capacity", LOADER))
LOADER.exec_module(capacity)

import capacity_rows  # noqa: E402

DESIGN_FIGURES = ("350 daemons", "2,000 engines", "16,000 accelerators", "18,000 requests/s", "3.8 million tokens/s",
                  "p95 0.95 s", "36 ms", "256 ranks", "128 experts", "12,000 teams", "9 models", "3 regions", "6 zones",
                  "3,100 changes", "8 s", "99.9%", "1.4%", "128 MB", "5 KB/s", "37 failures", "790 restarts", "rack",
                  "switch", "zone", "region link", "several hundred store writes/s", "2,000 store reads/s")


def line(name, value, size):
    return json.dumps({"name": name, "value": value, "unit": "s", "size": size, "commit": "abc"})


def row(budget):
    return capacity_rows.Measured("key", "title", "figure", 350, "entries", "s", "class", None, budget, "a carrier")


class CapacityTest(unittest.TestCase):
    def test_newest_line_counts(self):
        """Guards against a page that shows figures of an older commit."""
        results = capacity.Results([line("figure", 1, 3), line("figure", 2, 3)])
        self.assertEqual(results.value("figure", 3), 2)

    def test_line_is_recovered(self):
        """Guards against a wrong slope, intercept or error estimate of the linear fit."""
        fit = capacity.Fit([(3, 11), (12, 29), (30, 65)])
        self.assertAlmostEqual(fit.at(350), 705)
        self.assertAlmostEqual(fit.error_at(350), 0)
        scattered = capacity.Fit([(0, 0), (1, 3), (2, 0)])
        self.assertAlmostEqual(scattered.largest_residual, 2)
        self.assertAlmostEqual(scattered.error_at(1), 2 ** 0.5)

    def test_two_sizes_are_not_extended(self):
        """Guards against an extrapolation from too few measured sizes."""
        results = capacity.Results([line("figure", 1, 3), line("figure", 2, 12)])
        cells, value = capacity.measured_row(results, row(8))
        self.assertIsNone(value)
        self.assertIn("not measured", cells)

    def test_value_above_budget_is_marked(self):
        """Guards against rounding that makes a value above its budget appear to fit."""
        results = capacity.Results([line("figure", size / 349, size) for size in (3, 12, 30)])
        cells, value = capacity.measured_row(results, row(1))
        self.assertGreater(value, 1)
        self.assertIn("**does not fit yet**; a carrier", cells)
        self.assertIn("fits", capacity.measured_row(results, row(1.01))[0])

    def test_budget_within_the_error_is_said(self):
        """Guards against a verdict that does not say whether the budget is within the error of the fit."""
        results = capacity.Results([line("figure", value, size) for size, value in ((3, 3), (12, 15), (30, 30))])
        fit = capacity.Fit(results.points("figure"))
        for offset, said in ((0.5, True), (2, False)):
            cells, _ = capacity.measured_row(results, row(fit.at(350) + offset * fit.error_at(350)))
            self.assertEqual("fits (budget within the error of the fit)" in cells, said)

    def test_falling_line_is_not_extended(self):
        """Guards against an extrapolated value that is negative or below every measured value at the design scale."""
        results = capacity.Results([line("figure", 60 / size, size) for size in (3, 12, 30)])
        self.assertEqual(capacity.measured_row(results, row(8))[1], 20)

    def test_sum_without_a_term_is_not_measured(self):
        """Guards against a sum that silently omits a term that was not measured."""
        total = capacity_rows.Sum("total", "total", "s", 8, "a carrier", {"known": None, "missing": lambda results: None})
        values = {"known": 1}
        self.assertIn("not measured", capacity.sum_rows(values, capacity.Results([]), [total]))
        self.assertIsNone(values["total"])

    def test_every_design_figure_has_a_row(self):
        """Guards against a figure of the design scale that is missing from the page."""
        rows = capacity.page_tables(capacity.Results([]))[0]["scale"].splitlines()[2:]
        titles = " ".join(text.split("|")[1] for text in rows)
        for figure in DESIGN_FIGURES:
            self.assertIn(figure, titles)

    def test_changed_table_differs(self):
        """Guards against a check that accepts a page with manually edited tables."""
        text = "<!-- begin a -->\nold\n<!-- end a -->\n"
        self.assertNotEqual(capacity.with_tables(text, {"a": "new"}), text)
        self.assertEqual(capacity.with_tables(text, {"a": "old"}), text)
        with self.assertRaises(SystemExit):
            capacity.with_tables("", {"a": "new"})


if __name__ == "__main__":
    unittest.main()
