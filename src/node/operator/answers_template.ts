/** The questionnaire that `answers init` writes: valid, with examples. */
export const ANSWERS_TEMPLATE = `# Answers of one deployment. Check them with \`cyclamenfall answers check\`.
# Units are part of the names; micros are millionths of the currency.

# What is the deployment called?
deployment: example

# What matters most: tail_latency or cost?
priority: tail_latency

# Which regions are there, and which failure domains does each have?
regions:
  - id: north
    domains: [north-a]
  - id: south
    domains: [south-a]

# How far apart are two regions, and what does a transfer cost?
network:
  betweenRegions:
    oneWayDelayMs: 55
    bandwidthBitsPerSecond: 1500000000
    costMicrosPerMegabyte: 2
  # Pairs that differ:
  # exceptions:
  #   - between: [north, south]
  #     oneWayDelayMs: 20
  #     bandwidthBitsPerSecond: 1000000000
  #     costMicrosPerMegabyte: 1

# Which machines run the system? Those with a disk may have a control address;
# up to seven of them hold the configuration log.
instances:
  - id: north-1
    domain: north-a
    callerAddress: 10.0.0.1:7000
    innerAddress: 10.0.0.1:7100
    controlAddress: 10.0.0.1:7200
    disk: true
  - id: south-1
    domain: south-a
    callerAddress: 10.0.1.1:7000
    innerAddress: 10.0.1.1:7100
    disk: false

# Which upstreams do the work?
upstreams:
  - kind: model
    id: north-engine-1
    domain: north-a
    address: 10.0.0.50:8000
    models: [chat]
    # How many requests does it run at the same time?
    slots: 8
    # Does it refuse orders that carry an old fencing token?
    checksFencing: true
    # What do 1,000 generated tokens cost?
    costMicros: 900
  - kind: service
    id: north-worker-1
    domain: north-a
    address: 10.0.0.60:8000
    services:
      - name: booking
        slots: 16
        # What does one call cost?
        costMicros: 50

models:
  - id: chat
    weightsBytes: 14000000000
    # Time to the first token on an idle engine, and between two tokens.
    prefillMs: 120
    decodeMs: 25

# Which classes of urgency are there, from the most to the least urgent?
ranks:
  - id: urgent
    firstTokenTargetMs: 500
    betweenTokensTargetMs: 73
    # Share of capacity that it keeps during a flood of the others.
    floorShare: 0.3
    revenuePerJobMicros: 60000

# Who are the customers, where are they at home, and in which regions may their
# data be served?
workspaces:
  - id: first
    home: north
    residency: [north]
    # SHA-256 digests of the callers' keys: printf %s KEY | sha256sum
    callerKeyDigests:
      - aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
    # How much may they run, over all entries together? Unlimited without an answer.
    # quota:
    #   unit: requests # or tokens, with plainTokens for a call without tokens
    #   ratePerS: 50
    #   burst: 100
    workloads:
      - id: chat
        model: chat
        rank: urgent
      - id: booking
        service: booking
        rank: urgent
        # May a call be repeated?
        idempotent: false
        deadlineMs: 10000

# Who may change the configuration?
operators:
  - name: operator
    # SHA-256 digest of the operator's key
    keyDigest: bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
`;
