Feature: The decisions page matches the code

  Scenario: Constants have the values of the code
    Then each constant on the project's decisions page is defined in a module of its rule, with the stated value

  Scenario: Log events and metrics of the rules exist
    Then each log event or metric on the project's decisions page is one that the code writes
