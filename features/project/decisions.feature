Feature: The page of decisions says what the code does

  Scenario: Constants have the values of the code
    Then each constant on the project's page of decisions stands in a module of its rule, with its value

  Scenario: What shows a rule exists
    Then each name by which a rule is shown on the project's page of decisions is one of a log line or a metric
