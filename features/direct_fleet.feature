Feature: An entry follows the fleet and its configuration

  Background:
    Given an entry before 3 app servers and 1 llm servers

  Scenario: a draining server receives no new requests
    When app server 1 drains
    And 30 reads are requested
    Then all are answered
    And app server 1 received none of them

  Scenario: a server whose record is removed receives no new requests
    When the record of app server 1 is removed
    And 30 reads are requested
    Then all are answered
    And app server 1 received none of them

  Scenario: an evacuated zone receives nothing until its evacuation ends
    Given app server 1 is in zone-b
    When zone-b is evacuated
    And 30 reads are requested
    Then all are answered
    And app server 1 received none of them
    When the evacuation of zone-b ends
    And app server 2 drains
    And app server 3 drains
    And 30 reads are requested
    Then app server 1 received some of them

  Scenario: a server of another service takes the address of a stopped server
    When a server of another service takes the address of app server 1
    And 30 reads are requested
    Then all are answered
    And no request ran at the wrong service

  Scenario: a configuration is in force once it is read, and its version never decreases
    When a route is added under version 5
    Then the added route is served
    When the store reverts to version 3 without it
    Then the added route is served
    When credentials are changed under version 6
    Then the old credential is refused and the new one is served

  Scenario: changes that a watch missed are recovered
    When the store drops its history after app server 1 has left
    And 30 reads are requested
    Then all are answered
    And app server 1 received none of them
    And events E613 and E623 are logged

  Scenario: a fleet of several pages is read completely
    Given the store returns 2 items per page
    When a second entry starts
    And 30 reads are requested at the second entry
    Then all are answered
    And every app server received some of them

  Scenario Outline: the fleet is served while the store is unavailable
    When the store is <trouble> for 2.5 seconds
    Then reads are answered during the outage
    And the entry stays ready
    When the store recovers
    And app server 1 drains
    And 30 reads are requested
    Then app server 1 received none of them
    And events E621 and E622 are logged

    Examples:
      | trouble |
      | busy    |
      | many    |
      | reset   |
      | silent  |

  Scenario: records that expired during an outage of the store have two seconds of grace
    When the store is busy for 2.5 seconds and loses the record of app server 1
    Then app server 1 receives reads for 1.5 more seconds
    And app server 1 receives none after 2.5 seconds

  Scenario Outline: records that expired while the store gave no answer have two seconds of grace, too
    When the store is <trouble> for 2.5 seconds and loses the record of app server 1
    Then app server 1 receives reads for 1.5 more seconds
    And app server 1 receives none after 2.5 seconds

    Examples:
      | trouble |
      | reset   |
      | silent  |

  Scenario: a server that registers again in time is kept
    When the store is busy for 2.5 seconds and loses the record of app server 1
    And app server 1 registers again after 1 seconds
    Then app server 1 receives reads after 2.5 seconds

  Scenario Outline: a server whose record cannot be read receives nothing
    When app server 1 registers <record>
    And 30 reads are requested
    Then all are answered
    And app server 1 received none of them

    Examples:
      | record                  |
      | bytes that are no JSON  |
      | no state                |
      | an unknown state        |
      | a number as its address |

  Scenario: a configuration that cannot be read leaves the last one in force
    When a configuration that cannot be read is written
    And 10 reads are requested
    Then all are answered
    And event E402 is logged

  Scenario: an entry that lost the store does not answer that a route is unknown
    When the store is busy for 3.0 seconds
    Then an unknown route is answered 503
    And an unknown credential is answered 503

  Scenario: an entry without a configuration refuses requests and is not ready
    Given a store without a configuration
    When a second entry starts before the store has a configuration
    Then it is not ready and answers 503 with a Retry-After field
    When the configuration is written
    Then it becomes ready

  Scenario: a route with home regions is served there only
    Given app server 1 is in zone-b
    And zone-b is in another region than zone-a
    When the read route is allowed in the region of zone-a only
    And 30 reads are requested
    Then all are answered
    And app server 1 received none of them

  Scenario: a split route is divided between services by their weights
    When the read route is split 9 to 1 between app and other
    And 200 reads are requested
    Then all are answered
    And other received between 5 and 40 of them
