Feature: Documents say what the code does

  Scenario: Every command in the documents exists with its options
    Then each sloepond command in the project's documents is one of the command line

  Scenario: Every make target in the documents exists
    Then each make target in the project's documents is one of the Makefile

  Scenario: Every link inside the project leads somewhere
    Then each link in the project's documents leads to a file and a heading

  Scenario: The protocol's page is current
    Then the project's protocol page equals what the messages describe

  Scenario: Examples of settings and resources are valid
    Then each TOML example in the project's documents is a valid settings file
    And each YAML example in the project's documents has no findings
    And each setting in the project's documents is one of the settings file

  Scenario: The operators' page is complete
    Then the project's operating page explains every reason a caller is given
    And the project's operating page explains every error of the API
    And the project's operating page explains every path of the API
    And the project's operating page explains every kind of log line
    And the project's operating page explains every exit code

  Scenario: Alarms use metrics that exist
    Then each metric in the project's documents is one that a balancer exports

  Scenario: Types named in the glossary exist
    Then each dotted name in the project's glossary is found in the code
