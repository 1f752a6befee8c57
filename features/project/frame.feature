Feature: Project infrastructure

  Scenario: The lock file pins every declared library to one version
    Given the project's declared libraries
    When the project's lock file is read
    Then the project's lock file pins each of them
    And the project's lock file contains only pinned versions

  Scenario: The last line of a test run counts the scenarios
    Given a project test run with 2 passing, 1 failing and 1 known red scenario
    When the project test run ends
    Then the last line of the project test run is "2 passed, 1 failed"
    And the exit code of the project test run is 1

  Scenario: A test run ignores the failures of known red scenarios only
    Given a project test run with 2 passing, 0 failing and 1 known red scenario
    When the project test run ends
    Then the last line of the project test run is "2 passed, 0 failed"
    And the exit code of the project test run is 0

  Scenario: The list of known red scenarios is short and complete
    When the project's list of known red scenarios is read, if it exists
    Then it has at most 3 lines with an existing scenario, a cause and an issue each
    And each of its other lines names another case under review, with a command, a cause and an issue
