/** The replicated state machine of the control group: table and evacuations. */
import {pack, unpack, type Packed} from '../control/packing.js';
import {StateMachine, type JsonValue} from '../replication/replicated_log.js';
import type {DomainId, LogIndex, Term} from '../types/ids.js';
import {OrderHistory} from './order_history.js';
import {
  EMPTY_CONTROL_STATE,
  type ControlState,
  type RouteTable,
} from './route_table.js';

/** A command of the replicated log. */
export type ControlChange =
  | {
      readonly kind: 'replace_table';
      readonly version: number;
      /** A packed `RouteTable`; tables are large and differ little. */
      readonly table: Packed;
    }
  | EvacuationOrder;

/** Starts or ends the evacuation of a domain. */
export interface EvacuationOrder {
  readonly kind: 'set_evacuation';
  readonly domain: DomainId;
  readonly isEvacuated: boolean;
  /**
   * The log index of the state that the order is based on. Only the leader checks
   * it, before it appends the order; members of former versions omit it.
   */
  readonly base?: LogIndex | undefined;
}

/** The outcome of a change. */
export interface ControlChangeResult {
  /** False if the state had already reached or passed the requested change. */
  readonly isChanged: boolean;
  /** The table version after the change; 0 if there is no table. */
  readonly version: number;
}

/**
 * Applies changes in log order. A table whose version is not higher than the
 * current one has no effect, whatever its content, so that a repeated or
 * superseded change can be confirmed at any time.
 */
export class RouteTableMachine extends StateMachine<
  ControlChange,
  ControlChangeResult
> {
  readonly history = new OrderHistory();
  private current = EMPTY_CONTROL_STATE;

  /** `onChange` runs after each effective change and after a restore. */
  constructor(private readonly onChange: (state: ControlState) => void) {
    super();
  }

  get state(): ControlState {
    return this.current;
  }

  override apply(
    change: ControlChange,
    index: LogIndex,
    term: Term,
  ): ControlChangeResult {
    this.history.noteCommand(index);
    if (change.kind === 'set_evacuation') {
      this.history.noteOrder(change, index);
    }
    const next =
      change.kind === 'replace_table'
        ? this.withTable(change.version, change.table, term)
        : this.withEvacuation(change.domain, change.isEvacuated);
    const isChanged = next !== this.current;
    if (isChanged) {
      this.current = {...next, revision: index};
      this.onChange(this.current);
    }
    return {isChanged, version: this.current.table?.version ?? 0};
  }

  override snapshot(): JsonValue {
    return pack(this.current);
  }

  override restore(snapshot: JsonValue): void {
    this.history.clear();
    this.current = unpack(String(snapshot)) as ControlState;
    this.onChange(this.current);
  }

  private withTable(version: number, packed: Packed, term: Term): ControlState {
    const currentVersion = this.current.table?.version ?? 0;
    if (version <= currentVersion) return this.current;
    const table = unpack(packed) as RouteTable;
    const hasQuota = table.workspaces?.some(each => each.quota !== undefined);
    const isFirst = hasQuota === true && this.current.firstQuotaTerm === 0;
    return {
      ...this.current,
      table,
      ...(isFirst ? {firstQuotaTerm: term} : {}),
    };
  }

  private withEvacuation(domain: DomainId, isEvacuated: boolean): ControlState {
    const {evacuatedDomains} = this.current;
    if (evacuatedDomains.includes(domain) === isEvacuated) return this.current;
    return {
      ...this.current,
      evacuatedDomains: isEvacuated
        ? [...evacuatedDomains, domain]
        : evacuatedDomains.filter(each => each !== domain),
    };
  }
}
