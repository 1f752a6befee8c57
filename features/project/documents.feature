Feature: The documentation matches the code

  Scenario: Every command in the documents exists with its options
    Then each sloepond command in the project's documents exists, with its options

  Scenario: Every make target in the documents exists
    Then each make target in the project's documents is defined in the Makefile

  Scenario: Every link inside the project is valid
    Then each link in the project's documents points to an existing file and heading

  Scenario: The protocol page is up to date
    Then the project's protocol page equals the description generated from the message types

  Scenario: Examples of settings and resources are valid
    Then each TOML example in the project's documents is a valid settings file
    And each YAML example in the project's documents has no findings
    And each setting in the project's documents exists in the settings file

  Scenario: The operations page is complete
    Then the project's operating page explains every reason sent to callers
    And the project's operating page explains every error of the API
    And the project's operating page explains every path of the API
    And the project's operating page explains every kind of log line
    And the project's operating page explains every exit code

  Scenario: Documented metrics exist
    Then each metric in the project's documents is exported by a balancer

  Scenario: Types named in the glossary exist
    Then each dotted name in the project's glossary exists in the code
