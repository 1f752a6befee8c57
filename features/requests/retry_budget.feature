Feature: Retries are a bounded share of first attempts

  Scenario: A retry budget is never exceeded
    Then requests retry budget property: retries stay below the burst plus the earned share

  Scenario: An answer cache stays below its limit in bytes and returns whole answers
    Then requests answer cache property: kept answers are whole and bounded
