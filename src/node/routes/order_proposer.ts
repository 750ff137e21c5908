/**
 * Proposes commands on the leader, and rejects an order whose base is out of
 * date. The check precedes the log and is no part of the state machine, so that
 * members of all software versions apply each entry alike.
 */
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import type {Logger} from '../logging/logger.js';
import type {ReplicatedLog} from '../replication/replicated_log.js';
import {GatewayError} from '../types/errors.js';
import type {DomainId, MemberId} from '../types/ids.js';
import type {OrderHistory} from './order_history.js';
import type {
  ControlChange,
  ControlChangeResult,
  EvacuationOrder,
} from './route_table_machine.js';

type ProposalResult = ResultAsync<ControlChangeResult, GatewayError>;

const STEP = 'routes.propose_order';

export interface OrderProposerOptions {
  readonly log: ReplicatedLog<ControlChange, ControlChangeResult>;
  readonly history: OrderHistory;
  readonly logger: Logger;
}

/** Orders about one domain that agree and may be proposed at the same time. */
interface OrderGroup {
  readonly isEvacuated: boolean;
  /** Ends with the opposite orders before them. */
  readonly before: Promise<unknown>;
  /** Ends with the last of them. */
  readonly done: Promise<unknown>;
}

/** Proposes on one member. */
export class OrderProposer {
  /** The last orders about each domain, until they have ended. */
  private readonly pending = new Map<DomainId, OrderGroup>();

  constructor(private readonly options: OrderProposerOptions) {}

  propose(change: ControlChange): ProposalResult {
    const {log} = this.options;
    const {role, leader} = log.status();
    if (change.kind !== 'set_evacuation' || role === 'stopped') {
      return log.propose(change);
    }
    // A member that is about to win an election would append the order unchecked.
    return role === 'leader'
      ? this.proposeInTurn(change)
      : errAsync(notLeaderError(leader));
  }

  // After opposite orders, so that none is appended between check and append.
  private proposeInTurn(order: EvacuationOrder): ProposalResult {
    const {domain, isEvacuated} = order;
    const last = this.pending.get(domain);
    const isAgreed = last?.isEvacuated === isEvacuated;
    const before = (isAgreed ? last.before : last?.done) ?? Promise.resolve();
    const result = ResultAsync.fromSafePromise(before)
      .andThen(() => this.catchUp())
      .andThen(() => this.proposeChecked(order));
    const done = Promise.all([isAgreed ? last.done : undefined, result]);
    const group: OrderGroup = {isEvacuated, before, done};
    this.pending.set(domain, group);
    void done.then(() => {
      if (this.pending.get(domain) === group) this.pending.delete(domain);
    });
    return result;
  }

  /** Lets a new leader apply what earlier leaders have committed. */
  private catchUp(): ResultAsync<void, GatewayError> {
    const {log} = this.options;
    return log.status().hasCommittedInTerm === true
      ? okAsync(undefined)
      : log.readBarrier();
  }

  private proposeChecked(order: EvacuationOrder): ProposalResult {
    const {log, history, logger} = this.options;
    const {base} = order;
    const {appliedIndex} = log.status();
    const isCurrent =
      base === undefined || history.isCurrent(order, base, appliedIndex);
    if (isCurrent) return log.propose(order);
    logger.info(
      {event: 'change_superseded', order},
      'rejected an order with a base that is out of date',
    );
    return errAsync(supersededError());
  }
}

function notLeaderError(leader: MemberId | undefined): GatewayError {
  return new GatewayError({
    code: 'not_leader',
    message: 'this member does not lead the group',
    step: STEP,
    peer: 'self',
    ...(leader === undefined ? {} : {leader}),
  });
}

function supersededError(): GatewayError {
  return new GatewayError({
    code: 'conflict',
    message: 'an opposite order was carried out first',
    step: STEP,
    peer: 'self',
  });
}
