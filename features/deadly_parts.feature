Feature: Prompt parts that crash the engines that answer them

  Scenario: a connection that a target closed is logged with the parts of the prompt
    Given an entry before 1 app servers and 2 llm servers
    And the next llm servers do: reset cut
    When a caller streams /stream/1 with the prompt parts a1:40,b2:300,c3:90
    Then 2 lost connections are logged with the shared parts a1 and b2
    And the first one had no head, the second one had events
    And the metric "attempts" counts 2 under "connection_lost"

  Scenario: requests with a part that crashes targets stop reaching them
    Given two entries before 6 llm servers that part dead crashes
    When 12 callers stream with the part dead among sound ones with the same first part
    Then at most 8 requests with the part dead reached the servers
    And the last 4 of them were refused with 503 and reason prompt_quarantined
    And each sound caller got its whole stream

  Scenario: a part counts as answered while its stream goes on
    Given an entry before 1 app servers and 1 llm servers
    And streams of the llm servers have 40 events, 100 ms apart
    When a caller begins to stream /stream/1 with the prompt parts a1:40,b2:300
    Then the part a1 counts as answered before the stream ends

  Scenario Outline: a part is refused after three crashes without an answer
    Given <entries> entries that exchange hints
    When <crashes> targets crash one after another while a request with the parts <parts> is unanswered
    Then requests with the parts <refused> are refused at every entry
    And requests with the parts <served> are served at every entry

    Examples:
      | entries | crashes | parts       | refused     | served            |
      | 1       | 3       | shared dead | shared dead | shared            |
      | 3       | 3       | shared dead | shared dead | shared other      |
      | 70      | 3       | shared dead | shared dead | shared; dead      |
      | 3       | 2       | shared dead | nobody      | shared dead; dead |

  Scenario: the part that all crashes have in common is told from its companions
    Given 3 entries that exchange hints
    When 3 targets crash one after another while a request with the parts first dead is unanswered
    And 1 targets crash one after another while a request with the parts second dead is unanswered
    Then requests with the parts dead are refused at every entry
    And requests with the parts first; second; first other are served at every entry

  Scenario: a part that was answered before is not blamed with its companion
    Given 3 entries that exchange hints
    When a request with the parts shared is answered at entry 1
    And 3 targets crash one after another while a request with the parts shared dead is unanswered
    Then requests with the parts dead are refused at every entry
    And requests with the parts shared are served at every entry

  Scenario: the log of a quarantine tells the crashes and the answers that are known
    Given 1 entries that exchange hints
    When a request with the parts shared is answered at entry 0
    And 3 targets crash one after another while a request with the parts shared dead is unanswered
    Then a quarantine of the part dead is logged with 3 crashes and without an answer

  Scenario: a part that was sound and now crashes targets is refused after a fourth crash
    Given 3 entries that exchange hints
    When a request with the parts dead is answered at entry 0
    And 3 targets crash one after another while a request with the parts dead is unanswered
    Then requests with the parts dead are served at every entry
    When 1 targets crash one after another while a request with the parts dead is unanswered
    Then requests with the parts dead are refused at every entry

  Scenario: requests that waited at crashed targets are not blamed
    Given 3 entries that exchange hints
    When 5 targets crash one after another while requests with the parts dead and in turn with the parts victim; sufferer wait
    And requests with the parts dead are refused at every entry
    Then requests with the parts victim; sufferer are served at every entry

  Scenario: a first part that victims share is not blamed for the part behind it
    Given 3 entries that exchange hints
    When 3 targets crash one after another with 2 requests of the part shared and one of the parts shared dead
    Then requests with the parts shared dead are refused at every entry
    And requests with the parts shared; shared other are served at every entry

  Scenario: a first part of a victim that was sent last is not blamed for the part behind it
    Given 3 entries that exchange hints
    When 3 targets crash, shared+dead 60 ms after it was sent and shared 10 ms after
    Then requests with the parts shared dead are refused at every entry
    And requests with the parts shared; shared other are served at every entry

  Scenario: many connections that break at once quarantine nothing
    Given 3 entries that exchange hints
    When 40 targets crash at once while a request with the parts rare is unanswered
    Then requests with the parts rare are served at every entry

  Scenario: attempts of one request that lose their targets quickly count one by one
    Given 3 entries that exchange hints
    When 3 targets crash 40 ms apart, each by the next attempt of a request with the parts dead
    Then requests with the parts dead are refused at every entry

  Scenario: an answer after the crashes ends a quarantine at every entry
    Given 3 entries that exchange hints
    When 3 targets crash one after another while a request with the parts rare is unanswered
    Then requests with the parts rare are refused at every entry
    When a request with the parts rare is answered at entry 2
    Then requests with the parts rare are served at every entry

  Scenario: an entry that has just started refuses what the others refuse
    Given 3 entries that exchange hints
    When 3 targets crash one after another while a request with the parts shared dead is unanswered
    And after 60 seconds another entry starts
    Then requests with the parts shared dead are refused at every entry

  Scenario: crashes that an entry saw while it was cut off become known to the others
    Given 3 entries that exchange hints
    When entry 1 is cut off for 12 seconds and loses 2 targets with the parts dead
    And 1 targets crash one after another while a request with the parts dead is unanswered
    Then requests with the parts dead are refused at every entry

  Scenario Outline: crashes seen in short cuts, in which no entry is taken for gone, become known
    Given 3 entries that exchange hints
    When entry 1 is cut off for <seconds> seconds and loses 1 targets with the parts dead
    And entry 2 is cut off for <seconds> seconds and loses 1 targets with the parts dead
    And 1 targets crash one after another while a request with the parts dead is unanswered
    Then requests with the parts dead are refused at every entry

    Examples:
      | seconds |
      | 1       |
      | 2       |
      | 3       |
      | 4       |
      | 5       |

  Scenario: an entry that has just started learns of crashes that convict nobody yet
    Given 3 entries that exchange hints
    When 2 targets crash one after another while a request with the parts dead is unanswered
    And after 10 seconds another entry starts
    And entry 3 is cut off for 12 seconds and loses 1 targets with the parts dead
    Then requests with the parts dead are refused at every entry

  Scenario: an entry that has just started does not blame a part that the others saw answered
    Given 3 entries that exchange hints
    When a request with the parts shared is answered at entry 1
    And 2 targets crash 200 ms apart while requests with the parts shared; shared dead wait
    And 1 targets crash 200 ms apart while requests with the parts shared wait
    And a request with the parts shared is answered at entry 1
    And after 0 seconds another entry starts
    Then requests with the parts shared are served at every entry

  Scenario: a part is no longer blamed when an answer between the crashes becomes known
    Given 3 entries that exchange hints
    When 3 targets crash one after another while a request with the parts rare is unanswered
    And requests with the parts rare are refused at every entry
    And entry 2 learns that a request with the parts rare was answered 1500 ms ago
    Then requests with the parts rare are served at every entry

  Scenario: a crash that an entry reads of late is not taken for a new one
    When a hint waits 300 ms in the socket of an entry that is stopped
    Then it counts from at least 250 ms before it is read

  Scenario: one request is let through in ten minutes while requests keep coming
    Given 5 entries that exchange hints
    When 3 targets crash one after another while a request with the parts dead is unanswered
    And every entry gets a request with the parts dead each second for 1900 seconds, which crashes its target
    Then 2 of them were sent

  Scenario: a quarantine ends when no request has come for ten minutes
    Given 3 entries that exchange hints
    When 3 targets crash one after another while a request with the parts dead is unanswered
    And no request comes for 601 seconds
    Then requests with the parts dead are served at every entry

  Scenario: a hint that names no parts blocks nothing
    Given 2 entries that exchange hints
    When a hint quarantines no parts
    Then requests with the parts shared; other are served at every entry

  Scenario: what is remembered of crashes is bounded
    Given 1 entries that exchange hints
    When 5000 targets crash one after another, each with 40 requests of parts of its own
    Then at most 256 crashes with at most 32 requests are remembered
    And a hint takes at most 60000 bytes

  Scenario: a hint that tells of crashes of long prompts fits into a datagram
    Given 1 entries that exchange hints
    When 20 targets crash one after another, each with 32 requests of 16 long parts
    Then a hint tells of a crash and takes at most 60000 bytes

  Scenario Outline: in generated histories the deadly part is refused and others are not
    When <seeds> histories of <entries> entries are played with <deadly> of 100 requests deadly and <others> other crashes in ten seconds
    Then at most 3 deadly requests are sent 3 seconds after the fifth crash
    And at most 1 of 100 sound requests are refused

    Examples:
      | seeds | entries | deadly | others |
      | 20    | 3       | 5      | 0      |
      | 20    | 3       | 1      | 3      |
      | 10    | 3       | 25     | 10     |
      | 3     | 30      | 5      | 10     |

  Scenario Outline: in generated histories without a deadly part sound requests are served
    When <seeds> histories of <entries> entries are played with 0 of 100 requests deadly and <others> other crashes in ten seconds
    Then at most 1 of 100 sound requests are refused

    Examples:
      | seeds | entries | others |
      | 20    | 3       | 10     |
      | 10    | 3       | 40     |
      | 3     | 30      | 20     |
