/**
 * Column-oriented encoding of records in snapshots: one list per field avoids
 * writing field names or an array for each record. Owners and headers, which
 * often repeat, refer to lists of distinct values.
 */
import type {
  AttemptId,
  Digest,
  IdempotencyKey,
  MemberId,
} from '../types/ids.js';
import type {CallRecord, RecordPhase, StoredAnswer} from './record.js';

const PHASES: readonly RecordPhase[] = [
  'dispatched',
  'answered',
  'not_run',
  'unknown',
];

/**
 * The records of one workspace. The lists up to `statuses` have one element per
 * record.
 */
export interface RecordColumns {
  readonly keys: IdempotencyKey[];
  readonly digests: Digest[];
  readonly phases: number[];
  readonly attemptIds: AttemptId[];
  readonly owners: number[];
  readonly dispatchedAtMs: number[];
  readonly deadlineMs: number[];
  /** 0 if there is no answer. */
  readonly statuses: number[];
  /** This list and the next three have an element per record with an answer. */
  readonly headers: number[];
  readonly bodyDigests: Digest[];
  readonly bodySizesBytes: number[];
  readonly bodies: (string | null)[];
  /** Closed attempts by record position, for records that have any. */
  readonly closedAttempts: (readonly [number, readonly AttemptId[]])[];
}

/**
 * Distinct values in the order of their first use. Objects are compared by
 * identity; the record store interns them.
 */
export class ValueList<Value> {
  private readonly positions = new Map<Value, number>();
  readonly values: Value[] = [];

  /** Returns the position of a value; adds the value if it is new. */
  positionOf(value: Value): number {
    const existing = this.positions.get(value);
    if (existing !== undefined) return existing;
    this.positions.set(value, this.values.length);
    this.values.push(value);
    return this.values.length - 1;
  }
}

/** Distinct values to which the records of a snapshot refer by position. */
export interface RepeatedValues {
  readonly owners: readonly MemberId[];
  readonly headers: readonly StoredAnswer['headers'][];
}

/** Collects the distinct values while a snapshot is encoded. */
export class RepeatedValueLists {
  readonly owners = new ValueList<MemberId>();
  readonly headers = new ValueList<StoredAnswer['headers']>();

  toRepeatedValues(): RepeatedValues {
    return {owners: this.owners.values, headers: this.headers.values};
  }
}

function emptyColumns(): RecordColumns {
  return {
    keys: [],
    digests: [],
    phases: [],
    attemptIds: [],
    owners: [],
    dispatchedAtMs: [],
    deadlineMs: [],
    statuses: [],
    headers: [],
    bodyDigests: [],
    bodySizesBytes: [],
    bodies: [],
    closedAttempts: [],
  };
}

/** Encodes the records of a workspace as columns. */
export function encodeRecords(
  records: ReadonlyMap<IdempotencyKey, CallRecord>,
  repeated: RepeatedValueLists,
): RecordColumns {
  const columns = emptyColumns();
  records.forEach((record, key) => {
    if (record.closedAttempts.length > 0) {
      columns.closedAttempts.push([columns.keys.length, record.closedAttempts]);
    }
    columns.keys.push(key);
    columns.digests.push(record.digest);
    columns.phases.push(PHASES.indexOf(record.phase));
    columns.attemptIds.push(record.attemptId);
    columns.owners.push(repeated.owners.positionOf(record.owner));
    columns.dispatchedAtMs.push(record.dispatchedAtMs);
    columns.deadlineMs.push(record.deadlineMs);
    columns.statuses.push(record.answer?.status ?? 0);
    if (record.answer === undefined) return;
    columns.headers.push(repeated.headers.positionOf(record.answer.headers));
    columns.bodyDigests.push(record.answer.bodyDigest);
    columns.bodySizesBytes.push(record.answer.bodySizeBytes);
    columns.bodies.push(record.answer.body ?? null);
  });
  return columns;
}

/** Returns a value; throws if the snapshot lacks it. */
function valueAt<Value>(values: readonly Value[], position: number): Value {
  const value = values[position];
  if (value === undefined) throw new Error('records snapshot is incomplete');
  return value;
}

/** Decodes the records of a workspace from columns. */
export function decodeRecords(
  columns: RecordColumns,
  repeated: RepeatedValues,
): Map<IdempotencyKey, CallRecord> {
  const closedAttempts = new Map(columns.closedAttempts);
  const noAttempts: readonly AttemptId[] = [];
  const records = new Map<IdempotencyKey, CallRecord>();
  let answerCount = 0;
  columns.keys.forEach((key, position) => {
    const record: CallRecord = {
      digest: valueAt(columns.digests, position),
      phase: valueAt(PHASES, valueAt(columns.phases, position)),
      attemptId: valueAt(columns.attemptIds, position),
      owner: valueAt(repeated.owners, valueAt(columns.owners, position)),
      dispatchedAtMs: valueAt(columns.dispatchedAtMs, position),
      deadlineMs: valueAt(columns.deadlineMs, position),
      answer: decodeAnswer(columns, repeated, position, answerCount),
      closedAttempts: closedAttempts.get(position) ?? noAttempts,
    };
    if (record.answer !== undefined) answerCount += 1;
    records.set(key, record);
  });
  return records;
}

function decodeAnswer(
  columns: RecordColumns,
  repeated: RepeatedValues,
  position: number,
  answerPosition: number,
): StoredAnswer | undefined {
  const status = valueAt(columns.statuses, position);
  if (status === 0) return undefined;
  const headers = valueAt(columns.headers, answerPosition);
  return {
    status,
    headers: valueAt(repeated.headers, headers),
    bodyDigest: valueAt(columns.bodyDigests, answerPosition),
    bodySizeBytes: valueAt(columns.bodySizesBytes, answerPosition),
    body: valueAt(columns.bodies, answerPosition) ?? undefined,
  };
}
