/**
 * The state that the control members replicate: the accepted configuration,
 * its history, the audit trail and the results by operation id. Commands are
 * applied deterministically: timestamps and key digests are part of a command.
 */
import {createHash} from 'node:crypto';
import type {Answers} from '../config/answers.js';
import type {Configuration} from '../config/configuration.js';
import {StateMachine, type JsonValue} from '../replication/replicated_log.js';
import {
  asNumber,
  type ConfigVersion,
  type LogIndex,
  type OperationId,
} from '../types/ids.js';
import type {
  AcceptCommand,
  AcceptedVersion,
  AuditEntry,
  ControlCommand,
  ControlResult,
  HistoryEntry,
  NoteCommand,
  Requester,
} from './commands.js';
import {
  MAX_AUDIT_ENTRIES,
  MAX_HISTORY_ENTRIES,
  MAX_STORED_ANSWERS,
  MAX_STORED_RESULTS,
} from './constants.js';
import {unpack, type Packed} from './packing.js';

interface StoredResult {
  readonly operationId: OperationId;
  /** Digest of the change; detects another change with the same id. */
  readonly fingerprint: string;
  readonly result: ControlResult;
}

interface StoredAnswers {
  readonly version: ConfigVersion;
  readonly answers: Packed;
}

interface State {
  readonly version: ConfigVersion;
  /** The configuration of `version`; absent before version 1. */
  readonly configuration?: Packed;
  readonly history: readonly HistoryEntry[];
  readonly answers: readonly StoredAnswers[];
  readonly results: readonly StoredResult[];
  readonly audit: readonly AuditEntry[];
  readonly auditSequence: number;
}

const NO_VERSION = asNumber<ConfigVersion>(0);

const INITIAL_STATE: State = {
  version: NO_VERSION,
  history: [],
  answers: [],
  results: [],
  audit: [],
  auditSequence: 0,
};

function appendBounded<Item>(
  items: readonly Item[],
  added: Item,
  limit: number,
): readonly Item[] {
  return [...items, added].slice(-limit);
}

function fingerprintOf(command: AcceptCommand): string {
  const {baseVersion, operator, keyDigest, answersDigest} = command;
  return createHash('sha256')
    .update([baseVersion, operator, keyDigest, answersDigest].join('\n'))
    .digest('hex');
}

/** Replicated state machine that accepts or refuses configuration changes. */
export class ConfigurationMachine extends StateMachine<
  ControlCommand,
  ControlResult
> {
  private state: State = INITIAL_STATE;
  /** The configuration in force, unpacked. */
  private configuration: Configuration | undefined;
  private readonly listeners = new Set<() => void>();

  override apply(command: ControlCommand, _index: LogIndex): ControlResult {
    return command.kind === 'accept'
      ? this.applyAccept(command)
      : this.applyNote(command);
  }

  override snapshot(): JsonValue {
    return this.state as unknown as JsonValue;
  }

  override restore(snapshot: JsonValue): void {
    this.state = snapshot as unknown as State;
    const {configuration} = this.state;
    this.configuration =
      configuration === undefined
        ? undefined
        : (unpack(configuration) as Configuration);
    this.notify();
  }

  /** The version in force; 0 if there is none yet. */
  version(): ConfigVersion {
    return this.state.version;
  }

  /** The version in force with its answers. */
  accepted(): AcceptedVersion | undefined {
    const {configuration} = this;
    const answers = this.answersOf(this.version());
    if (configuration === undefined || answers === undefined) return undefined;
    return {version: this.version(), answers, configuration};
  }

  /** The configuration in force; `undefined` before version 1. */
  configurationInForce(): Configuration | undefined {
    return this.configuration;
  }

  /** The configuration in force, packed for distribution. */
  packedConfiguration(): Packed | undefined {
    return this.state.configuration;
  }

  /** The answers of a version, if they are still stored. */
  answersOf(version: ConfigVersion): Answers | undefined {
    const stored = this.state.answers.find(each => each.version === version);
    return stored === undefined
      ? undefined
      : (unpack(stored.answers) as Answers);
  }

  /** Accepted versions, oldest first. */
  history(): readonly HistoryEntry[] {
    return this.state.history;
  }

  /** Accepted and refused changes, oldest first. */
  audit(): readonly AuditEntry[] {
    return this.state.audit;
  }

  /** Whether the requester presented the key of a known operator. */
  isAuthorized(requester: Requester): boolean {
    const {initialOperator} = requester;
    const initial = initialOperator === undefined ? [] : [initialOperator];
    const operators = this.configuration?.operators ?? initial;
    return operators.some(
      ({name, keyDigest}) =>
        name === requester.operator && keyDigest === requester.keyDigest,
    );
  }

  /** Calls `listener` after each accepted version and each restore. */
  subscribe(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private applyAccept(command: AcceptCommand): ControlResult {
    const fingerprint = fingerprintOf(command);
    const stored = this.state.results.find(
      ({operationId}) => operationId === command.operationId,
    );
    if (stored?.fingerprint === fingerprint) return stored.result;
    if (!this.isAuthorized(command)) {
      return this.refuse(
        command,
        'unauthorized',
        `unknown operator or wrong key: ${command.operator}`,
      );
    }
    if (stored !== undefined) {
      return this.refuse(
        command,
        'bad_request',
        `operation id ${command.operationId} belongs to another change`,
      );
    }
    if (command.baseVersion > this.version()) {
      return this.refuse(
        command,
        'bad_request',
        `base version ${command.baseVersion} does not exist`,
      );
    }
    const result =
      command.baseVersion === this.version()
        ? this.accept(command)
        : this.conflict(command);
    const entry = {operationId: command.operationId, fingerprint, result};
    this.state = {
      ...this.state,
      results: appendBounded(this.state.results, entry, MAX_STORED_RESULTS),
    };
    if (result.status === 'accepted') this.notify();
    return result;
  }

  private accept(command: AcceptCommand): ControlResult {
    const {answers, configuration, atMs, operator, operationId} = command;
    const {baseVersion, changes = ''} = command;
    const version = asNumber<ConfigVersion>(baseVersion + 1);
    const entry = {version, baseVersion, operationId, operator, atMs};
    const {state} = this;
    this.configuration = unpack(configuration) as Configuration;
    this.state = {
      ...state,
      version,
      configuration,
      history: appendBounded(state.history, entry, MAX_HISTORY_ENTRIES),
      answers: appendBounded(
        state.answers,
        {version, answers},
        MAX_STORED_ANSWERS,
      ),
    };
    this.record(command, 'accept', {
      version,
      result: 'accepted',
      detail: `version ${version}${changes === '' ? '' : `: ${changes}`}`,
    });
    return {status: 'accepted', version, atMs};
  }

  private conflict(command: AcceptCommand): ControlResult {
    const winner = this.state.history.find(
      ({baseVersion}) => baseVersion === command.baseVersion,
    );
    const winnerText =
      winner === undefined
        ? 'a change that is no longer listed'
        : `version ${winner.version} by ${winner.operator}`;
    this.record(command, 'accept', {
      result: 'conflict',
      detail: `base version ${command.baseVersion} was replaced by ${winnerText}`,
    });
    return {
      status: 'conflict',
      currentVersion: this.version(),
      ...(winner === undefined ? {} : {winner}),
    };
  }

  // A refusal is not stored by operation id, so that a retry with a corrected
  // key or base version can use the same id.
  private refuse(
    command: AcceptCommand,
    code: 'unauthorized' | 'bad_request',
    message: string,
  ): ControlResult {
    this.record(command, 'accept', {result: 'refused', detail: message});
    return {status: 'refused', code, message};
  }

  private applyNote(command: NoteCommand): ControlResult {
    const {action, outcome, detail} = command;
    this.record(command, action, {result: outcome, detail});
    return {status: 'noted'};
  }

  private record(
    command: ControlCommand,
    action: AuditEntry['action'],
    outcome: Pick<AuditEntry, 'version' | 'result' | 'detail'>,
  ): void {
    const {operator, operationId, atMs, baseVersion} = command;
    const sequence = this.state.auditSequence + 1;
    const entry: AuditEntry = {
      sequence,
      atMs,
      operator,
      operationId,
      action,
      ...(baseVersion === undefined ? {} : {baseVersion}),
      ...outcome,
    };
    this.state = {
      ...this.state,
      auditSequence: sequence,
      audit: appendBounded(this.state.audit, entry, MAX_AUDIT_ENTRIES),
    };
  }

  private notify(): void {
    [...this.listeners].forEach(listener => listener());
  }
}
