/**
 * Benchmark of the state machine of at-most-once records. Run it with
 * `node dist/node/records/measure.js`; it prints one JSON object.
 */
import {createHash, randomUUID} from 'node:crypto';
import {pathToFileURL} from 'node:url';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {monotonicNowMs} from '../clock/clock.js';
import {
  asId,
  type AttemptId,
  type Digest,
  type DomainId,
  type IdempotencyKey,
  type MemberId,
  type WorkspaceId,
} from '../types/ids.js';
import {DEFAULT_GRACE_MS, DEFAULT_RETENTION_MS} from './constants.js';
import {createIdempotencyKey} from './idempotency_key.js';
import type {RecordCommand} from './record.js';
import {RecordStateMachine} from './record_state_machine.js';

const RECORD_COUNT = 100_000;
const WORKSPACE_COUNT = 20;
/** A typical response body of a booking or ordering service. */
const BODY = JSON.stringify({booking: randomUUID(), at: '2026-05-01T10:00'});
const START_MS = 1_800_000_000_000;
const EXPIRY = {retentionMs: DEFAULT_RETENTION_MS, graceMs: DEFAULT_GRACE_MS};

function digest(text: string): Digest {
  return asId<Digest>(createHash('sha256').update(text).digest('hex'));
}

/** The `begin` and `finish` of one call as JSON, the form of log entries. */
function createCallCommands(index: number): string {
  const call = {
    workspaceId: asId<WorkspaceId>(`workspace-${index % WORKSPACE_COUNT}`),
    key: createIdempotencyKey(START_MS + index),
    digest: digest(`call ${index}`),
    attemptId: asId<AttemptId>(randomUUID()),
    owner: asId<MemberId>(`centro-entry-${index % 8}#1800000000000`),
  };
  const commands: RecordCommand[] = [
    {
      kind: 'begin',
      ...call,
      fresh: false,
      timeoutMs: 10_000,
      nowMs: START_MS + index,
      retentionMs: DEFAULT_RETENTION_MS,
      maxRecords: RECORD_COUNT,
    },
    {
      kind: 'finish',
      ...call,
      outcome: {
        kind: 'answered',
        answer: {
          status: 201,
          headers: {'content-type': 'application/json'},
          bodyDigest: digest(`${BODY} ${index}`),
          bodySizeBytes: BODY.length,
          body: Buffer.from(BODY).toString('base64'),
        },
      },
    },
  ];
  return JSON.stringify(commands);
}

function measureMs(work: () => void): number {
  const startMs = monotonicNowMs();
  work();
  return Math.round((monotonicNowMs() - startMs) * 100) / 100;
}

function heapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

/** Applies commands in batches; the result excludes the time for parsing. */
function applyAll(
  machine: RecordStateMachine,
  lines: readonly string[],
): number {
  const batch = 1_000;
  return lines
    .filter((_line, index) => index % batch === 0)
    .map((_line, index) => {
      const commands = lines
        .slice(index * batch, (index + 1) * batch)
        .flatMap(line => JSON.parse(line) as RecordCommand[]);
      return measureMs(() => commands.forEach(item => machine.apply(item)));
    })
    .reduce((sum, value) => sum + value, 0);
}

/** Transfers all records, as those of one workspace, to another machine. */
function measureTransfer(lines: readonly string[]): Record<string, number> {
  const workspaceId = asId<WorkspaceId>('workspace-0');
  const [from, to] = [new RecordStateMachine(), new RecordStateMachine()];
  [from, to].forEach(machine =>
    machine.apply({
      kind: 'start_generation',
      nowMs: START_MS,
      unknownBeforeMs: 0,
    }),
  );
  lines
    .flatMap(line => JSON.parse(line) as RecordCommand[])
    .forEach(command => from.apply({...command, workspaceId} as RecordCommand));
  const [fromDomainId, toDomainId] = ['a', 'b'].map(id => asId<DomainId>(id));
  const move = {workspaceId, version: 2};
  let pageCount = 0;
  const transferMs = measureMs(() => {
    from.apply({kind: 'close_workspace', ...move, toDomainId: toDomainId!});
    to.apply({kind: 'await_import', ...move, fromDomainId: fromDomainId!});
    let page = from.exportPage(workspaceId, undefined);
    while (page !== undefined) {
      pageCount += 1;
      to.apply({kind: 'import', ...move, page});
      const next: IdempotencyKey | undefined = page.continueAfter;
      page = next && from.exportPage(workspaceId, next);
    }
  });
  return {transferMs, transferPages: pageCount};
}

/** Runs all measurements with 100,000 records. */
export function measureRecords(): Record<string, number> {
  const lines = Array.from({length: RECORD_COUNT}, (_, index) =>
    createCallCommands(index),
  );
  const machine = new RecordStateMachine();
  machine.apply({
    kind: 'start_generation',
    nowMs: START_MS,
    unknownBeforeMs: 0,
  });
  const before = heapBytes();
  const applyMs = applyAll(machine, lines);
  const stateBytes = heapBytes() - before;
  const nowMs = START_MS + RECORD_COUNT;
  const idleMs = measureMs(() => machine.hasExpirable({nowMs, ...EXPIRY}));
  const expireMs = measureMs(() =>
    machine.apply({kind: 'expire', nowMs, ...EXPIRY}),
  );
  let snapshot: unknown;
  const snapshotMs = measureMs(() => (snapshot = machine.snapshot()));
  let text = '';
  const stringifyMs = measureMs(() => (text = JSON.stringify(snapshot)));
  const parsed = JSON.parse(text) as never;
  const copy = new RecordStateMachine();
  const restoreMs = measureMs(() => copy.restore(parsed));
  const forgetMs = measureMs(() =>
    machine.apply({kind: 'expire', nowMs: nowMs * 2, ...EXPIRY}),
  );
  return {
    records: RECORD_COUNT,
    commandsPerSecond: Math.round((2 * RECORD_COUNT * 1_000) / applyMs),
    stateBytesPerRecord: Math.round(stateBytes / RECORD_COUNT),
    idleExpireCheckMs: idleMs,
    idleExpireMs: expireMs,
    forgetAllMs: forgetMs,
    snapshotMs,
    stringifyMs,
    snapshotBytes: Buffer.byteLength(text),
    restoreMs,
    ...measureTransfer(lines),
  };
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) {
  process.stdout.write(`${JSON.stringify(measureRecords(), null, 2)}\n`);
}
