Feature: Configuration of whole fleets

  Scenario: changes reach processes that cannot read the service
    Given a fleet of which only engine-0 reaches the configuration service
    When rules that drain zone-1 are published as version 2
    Then every process has rules version 2 in force
    When the service reverts to version 1
    And every process is restarted in turn
    Then every process has rules version 2 in force
    And no process has had rules below version 2 in force after its restart

  Scenario: the last accepted version stays in force when the service is faulty
    Given a fleet with 3 engines, 1 plain service and 1 entries
    When rules that drain zone-1 are published as version 2
    Then every process has rules version 2 in force
    When invalid rules are published as version 3
    And a megabyte of invalid JSON is published as version 4
    Then each invalid document is rejected at most once by each process
    When the configuration service is killed
    And every process is restarted in turn
    Then every process has rules version 2 in force
