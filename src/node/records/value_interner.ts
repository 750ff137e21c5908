/**
 * Interns values that many records have in common. Commands are parsed from
 * JSON in the log, so that each one has its own copy.
 */
import type {AttemptId, MemberId} from '../types/ids.js';
import type {CallRecord, StoredAnswer} from './record.js';

/** Maximum distinct values per kind; further values are not interned. */
const MAX_INTERNED_VALUES = 10_000;

const NO_ATTEMPTS: readonly AttemptId[] = [];

/** Replaces equal values in records by one shared copy. */
export class ValueInterner {
  private readonly owners = new Map<string, MemberId>();
  private readonly headers = new Map<string, StoredAnswer['headers']>();

  /** Starts with the distinct values of a snapshot. */
  constructor(
    owners: readonly MemberId[] = [],
    headers: readonly StoredAnswer['headers'][] = [],
  ) {
    owners.forEach(owner => this.owners.set(owner, owner));
    headers.forEach(item => this.headers.set(JSON.stringify(item), item));
  }

  /** Returns an equal record that uses the shared copies. */
  intern(record: CallRecord): CallRecord {
    const {answer, closedAttempts, owner} = record;
    return {
      ...record,
      owner: internIn(this.owners, owner, owner),
      closedAttempts:
        closedAttempts.length === 0 ? NO_ATTEMPTS : closedAttempts,
      ...(answer === undefined ? {} : {answer: this.internAnswer(answer)}),
    };
  }

  private internAnswer(answer: StoredAnswer): StoredAnswer {
    const name = JSON.stringify(answer.headers);
    return {...answer, headers: internIn(this.headers, name, answer.headers)};
  }
}

function internIn<Value>(
  values: Map<string, Value>,
  name: string,
  value: Value,
): Value {
  const existing = values.get(name);
  if (existing !== undefined) return existing;
  if (values.size < MAX_INTERNED_VALUES) values.set(name, value);
  return value;
}
