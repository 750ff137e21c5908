/**
 * Carries out the operators' orders about evacuations. Orders have no version, so
 * one that was held up must not undo a later one: a member reads the log's state
 * first, then checks that the operator still waits, and proposes the order on the
 * base of what it has read. A later order makes that base out of date.
 */
import {err, type Result, type ResultAsync} from 'neverthrow';
import {monotonicNowMs} from '../clock/clock.js';
import {GatewayError} from '../types/errors.js';
import type {LogIndex} from '../types/ids.js';
import type {
  ControlChangeResult,
  EvacuationOrder,
} from './route_table_machine.js';

/** The end of a connection that was held up follows its request within this. */
const SETTLE_MS = 50;
const STEP = 'routes.order';

/** The operator that gave an order. */
export interface WaitingOperator {
  /** False once the operator has closed its connection. */
  readonly isWaiting: () => boolean;
}

/** An order that was carried out. */
export interface OrderResult extends ControlChangeResult {
  /** Index of the log up to which the state was read before. */
  readonly base: LogIndex;
}

export interface EvacuationOrdersOptions {
  /** Resolves with the applied index of a linearizable read. */
  readonly readIndex: () => ResultAsync<LogIndex, GatewayError>;
  /** Proposes on the leader; fails with `conflict` if the base is out of date. */
  readonly propose: (
    order: EvacuationOrder,
  ) => ResultAsync<ControlChangeResult, GatewayError>;
  /** How long an order is tried on newer bases. */
  readonly timeoutMs: number;
}

/** The orders at one member. */
export class EvacuationOrders {
  constructor(private readonly options: EvacuationOrdersOptions) {}

  /** Fails with `cancelled`, and changes nothing, if the operator has left. */
  async carryOut(
    order: EvacuationOrder,
    {isWaiting}: WaitingOperator,
  ): Promise<Result<OrderResult, GatewayError>> {
    const {readIndex, propose, timeoutMs} = this.options;
    const deadlineMs = monotonicNowMs() + timeoutMs;
    for (;;) {
      const [index] = await Promise.all([readIndex(), settle()]);
      if (index.isErr()) return err(index.error);
      if (!isWaiting()) return err(leftError());
      const base = index.value;
      const result = await propose({...order, base});
      const isSuperseded = result.isErr() && result.error.code === 'conflict';
      if (!isSuperseded || monotonicNowMs() >= deadlineMs) {
        return result.map(value => ({...value, base}));
      }
    }
  }
}

function settle(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, SETTLE_MS));
}

function leftError(): GatewayError {
  return new GatewayError({
    code: 'cancelled',
    message: 'the operator has closed its connection',
    step: STEP,
    peer: 'operator',
  });
}
