Feature: An entry follows the fleet and its configuration

  Background:
    Given an entry before 3 app servers and 1 llm servers

  Scenario: a server that drains gets nothing more
    When app server 1 drains
    And 30 reads are asked for
    Then all are answered
    And app server 1 got none of them

  Scenario: a server whose entry is removed gets nothing more
    When the entry of app server 1 is removed
    And 30 reads are asked for
    Then all are answered
    And app server 1 got none of them

  Scenario: an evacuated zone gets nothing until it is taken back
    Given app server 1 is in zone-b
    When zone-b is evacuated
    And 30 reads are asked for
    Then all are answered
    And app server 1 got none of them
    When zone-b is taken back
    And app server 2 drains
    And app server 3 drains
    And 30 reads are asked for
    Then app server 1 got some of them

  Scenario: another service's server at the address of one that is gone
    When a server of another service takes the address of app server 1
    And 30 reads are asked for
    Then all are answered
    And no request ran at the wrong service

  Scenario: a configuration is in force once it is read, and never reverts
    When a route is added under version 5
    Then the added route is served
    When the store goes back to version 3 without it
    Then the added route is served
    When credentials are changed under version 6
    Then the old credential is refused and the new one is served

  Scenario: changes that a watch missed are found again
    When the store drops its history after app server 1 has left
    And 30 reads are asked for
    Then all are answered
    And app server 1 got none of them
    And event E623 is logged

  Scenario: a fleet of several pages is read whole
    Given the store returns 2 items a page
    When a second entry starts
    And 30 reads are asked for at the second entry
    Then all are answered
    And every app server got some of them

  Scenario Outline: the store is away and the fleet lives on
    When the store is <trouble> for 2.5 seconds
    Then reads are answered all the while
    And the entry stays ready
    When the store is well again
    And app server 1 drains
    And 30 reads are asked for
    Then app server 1 got none of them
    And events E621 and E622 are logged

    Examples:
      | trouble |
      | busy    |
      | many    |
      | reset   |
      | silent  |

  Scenario: entries that lapsed while the store was away have two seconds
    When the store is busy for 2.5 seconds and loses the entry of app server 1
    Then app server 1 gets reads for 1.5 seconds more
    And app server 1 gets none after 2.5 seconds

  Scenario: an entry that came back in time stays
    When the store is busy for 2.5 seconds and loses the entry of app server 1
    And app server 1 registers again after 1 seconds
    Then app server 1 gets reads after 2.5 seconds

  Scenario Outline: an entry that cannot be read names no server
    When app server 1 registers <entry>
    And 30 reads are asked for
    Then all are answered
    And app server 1 got none of them

    Examples:
      | entry                   |
      | bytes that are no JSON  |
      | no state                |
      | an unknown state        |
      | a number as its address |

  Scenario: a configuration that cannot be read leaves the last one in force
    When a configuration that cannot be read is written
    And 10 reads are asked for
    Then all are answered
    And event E402 is logged

  Scenario: an unknown route at an entry that lost the store is not denied
    When the store is busy for 3.0 seconds
    Then an unknown route is answered 503
    And an unknown credential is answered 503

  Scenario: an entry without a configuration refuses and is not ready
    Given a store without a configuration
    When a second entry starts before the store has a configuration
    Then it is not ready and answers 503 with a time to come back
    When the configuration is written
    Then it becomes ready

  Scenario: a route with home regions is served there only
    Given app server 1 is in zone-b
    And zone-b is in another region than zone-a
    When the read route is allowed in the region of zone-a only
    And 30 reads are asked for
    Then all are answered
    And app server 1 got none of them

  Scenario: a split route is served by each service as its weights say
    When the read route is split 9 to 1 between app and other
    And 200 reads are asked for
    Then all are answered
    And other got between 5 and 40 of them
