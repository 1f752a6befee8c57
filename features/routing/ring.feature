Feature: The ring places replicas as pure data

  Scenario: Replicas stand in different halls where the view has enough halls
    Then routing ring property: replicas are distinct and spread over halls

  Scenario: Losing one member moves only what it held
    Then routing ring property: a member lost changes only partitions it held
