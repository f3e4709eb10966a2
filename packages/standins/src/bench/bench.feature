Feature: Benchmark report

  Scenario: Ratios are paired by repeat and reported with their median and range
    Given a benchmark comparison whose sides measured 10, 20, 40 and 11, 24, 40
    Then the benchmark reports the ratio 1.10 between 1.00 and 1.20

  Scenario: A missed goal is reported as missed
    Given a benchmark comparison whose sides measured 10, 20, 40 and 11, 24, 40
    Then the benchmark page says that its goal was missed, and has a plot
