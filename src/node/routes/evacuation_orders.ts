/**
 * Carries out the operators' orders about evacuations. Orders have no version, so
 * one that was held up must not undo a later one: a member notes the index that it
 * has applied, then checks that the operator still waits, and proposes the order
 * with that index as its base. Any opposite order that the operator gives later has
 * a higher index, and makes the base out of date.
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
  /** Log index that was applied before the operator was seen to wait. */
  readonly base: LogIndex;
}

export interface EvacuationOrdersOptions {
  /** The log index that this member has applied; it may lag behind. */
  readonly appliedIndex: () => LogIndex;
  /** Resolves once this member has applied what is committed now. */
  readonly catchUp: () => ResultAsync<void, GatewayError>;
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
    const {appliedIndex, catchUp, propose, timeoutMs} = this.options;
    const deadlineMs = monotonicNowMs() + timeoutMs;
    for (;;) {
      const base = appliedIndex();
      await settle();
      if (!isWaiting()) return err(leftError());
      const result = await propose({...order, base});
      const isSuperseded = result.isErr() && result.error.code === 'conflict';
      if (!isSuperseded || monotonicNowMs() >= deadlineMs) {
        return result.map(value => ({...value, base}));
      }
      const caughtUp = await catchUp();
      if (caughtUp.isErr()) return err(caughtUp.error);
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
