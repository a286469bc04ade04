Feature: Connections to the store that are lost while the store is sound
  An open connection may be cut or go silent while new ones work. An entry finds
  that out in time, and does not take it for an outage of the store.

  Scenario Outline: what was changed around a lost connection is in force in time
    Given an entry process before 3 app servers and 0 llm servers
    When its open connections to the store <loss>
    And <delay> seconds after that, <change>
    Then reads <bound> seconds after the <event> are handled accordingly: <change>

    Examples: the connection goes silent, and the entry has 3 seconds to recover
      | loss                         | change                             | delay | bound | event |
      | go silent right after a change | app server 1 leaves              | 0.05  | 3.0   | loss  |
      | go silent during a watch     | app server 1 leaves                | 0.1   | 3.0   | loss  |
      | go silent during a watch     | app server 1 leaves unseen         | 0.1   | 3.0   | loss  |
      | go silent while pages are read | app server 1 leaves              | 0.4   | 3.0   | loss  |
      | go silent right after a change | app server 1 drains              | 0.4   | 3.0   | loss  |
      | go silent right after a change | the key is withdrawn             | 0.4   | 3.0   | loss  |
      | go silent right after a change | the read route is dropped        | 0.4   | 3.0   | loss  |

    Examples: the watch is cut or refused, and the usual bound holds
      | loss                         | change                             | delay | bound | event  |
      | are cut                      | app server 1 leaves                | 0.05  | 2.0   | change |
      | are cut                      | app server 1 leaves unseen         | 0.05  | 2.0   | change |
      | are refused as too many      | app server 1 leaves                | 0.1   | 2.0   | change |

  Scenario Outline: an entry tells an outage of the source from a lost call
    Given a contact with a source
    When its calls end as <calls>
    Then the source is taken to be <state>

    Examples:
      | calls                                    | state |
      | answered, lost                           | sound |
      | answered, lost, answered, lost           | sound |
      | answered, limited, limited, limited      | sound |
      | answered, lost, limited, lost            | sound |
      | answered, lost, lost                     | away  |
      | answered, lost, lost, answered, lost     | sound |
      | answered, unavailable                    | away  |
      | answered, lost, unavailable              | away  |
      | lost, lost                               | away  |

  Scenario Outline: a silent connection is found, and the source asked anew, within 3 seconds
    Given a contact with a source
    When its calls end as <calls>
    And its next call gets no answer
    Then a new call is sent within 3.0 seconds of the last answer

    Examples:
      | calls                    |
      | answered                 |
      | answered, changed        |
      | answered, lost, answered |

  Scenario: a source that cuts each watch is not asked without a pause
    Given a contact with a source
    When its calls end as answered, lost, probed, lost
    Then the next call is sent after 0.2 seconds or more

  Scenario Outline: a removal that is told after a lost call counts at once
    Given a dispatcher before 2 plain targets
    When a call to the store is lost
    And the store <answer>
    Then the first target receives nothing for 2.0 seconds

    Examples:
      | answer                                             |
      | of the old era reports that the first target left  |
      | lists everything but the first target              |

  Scenario: a peer that hears the store tells of a removal, which counts at once
    Given a dispatcher before 2 plain targets
    When the store is lost
    And a peer that hears the store tells that the first target left
    Then the first target receives nothing for 2.0 seconds

  Scenario Outline: a peer that tells again and again that a target is missing does not keep it in use
    Given a dispatcher before 2 plain targets
    When <loss>
    And a peer that lost the store of late tells for 3 seconds that the first target is missing
    Then the first target receives nothing for 1.0 seconds

    Examples:
      | loss                        |
      | the store is lost           |
      | a call to the store is lost |

  Scenario: a target that a peer misses, which lost the store of late, stays for two seconds
    Given a dispatcher before 2 plain targets
    When the store is lost
    And the store of the old era answers again
    And 60 seconds pass
    And a call to the store is lost
    And a peer that lost the store of late tells for 1 seconds that the first target is missing
    Then the first target receives requests again

  Scenario Outline: an entry says that the source was not away of late only if it knows so
    Given an entry that has heard the source for <seconds> seconds
    When the source <event>
    Then the entry <verdict> that it was not away

    Examples:
      | seconds | event                        | verdict      |
      | 4       | goes on to answer            | says         |
      | 1       | goes on to answer            | does not say |
      | 4       | loses a call                 | does not say |
      | 4       | loses a call and answers     | says         |
      | 4       | is away and answers          | does not say |
