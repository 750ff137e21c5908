/**
 * Proposes commands on the leader, and rejects an order whose base is out of
 * date. The check precedes the log and is no part of the state machine, so that
 * members of all software versions apply each entry alike.
 */
import {errAsync, ResultAsync} from 'neverthrow';
import type {Logger} from '../logging/logger.js';
import type {ReplicatedLog} from '../replication/replicated_log.js';
import {GatewayError, toGatewayError} from '../types/errors.js';
import type {DomainId} from '../types/ids.js';
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

/** Proposes on one member. */
export class OrderProposer {
  /** The last order about each domain that has not ended yet. */
  private readonly pending = new Map<DomainId, ProposalResult>();

  constructor(private readonly options: OrderProposerOptions) {}

  propose(change: ControlChange): ProposalResult {
    const {log} = this.options;
    const isChecked =
      change.kind === 'set_evacuation' &&
      change.base !== undefined &&
      log.status().role === 'leader';
    return isChecked ? this.proposeInTurn(change) : log.propose(change);
  }

  // One after the other, so that no order is appended between check and append.
  private proposeInTurn(order: EvacuationOrder): ProposalResult {
    const {domain} = order;
    const before = this.pending.get(domain);
    const run = async (): Promise<ControlChangeResult> => {
      await before;
      const result = await this.proposeChecked(order);
      if (result.isErr()) throw result.error;
      return result.value;
    };
    const result = ResultAsync.fromPromise(run(), thrown =>
      toGatewayError(thrown, STEP, 'self'),
    );
    this.pending.set(domain, result);
    void result.then(() => {
      if (this.pending.get(domain) === result) this.pending.delete(domain);
    });
    return result;
  }

  // The barrier makes a new leader apply what earlier leaders have committed.
  private proposeChecked(order: EvacuationOrder): ProposalResult {
    const {log, history, logger} = this.options;
    return log.readBarrier().andThen(() => {
      const {base} = order;
      const {appliedIndex} = log.status();
      const isCurrent =
        base === undefined || history.isCurrent(order, base, appliedIndex);
      if (isCurrent) return log.propose(order);
      logger.info(
        {event: 'change_dropped', order, base, reason: 'superseded'},
        'dropped an order with a base that is out of date',
      );
      return errAsync(supersededError());
    });
  }
}

function supersededError(): GatewayError {
  return new GatewayError({
    code: 'conflict',
    message: 'an opposite order was carried out first',
    step: STEP,
    peer: 'self',
  });
}
