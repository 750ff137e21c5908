/** What refused callers of one workspace at one entry were told to come back for. */
import {MAX_RETRY_MS} from './constants.js';

const MS_PER_S = 1_000;

/**
 * Callers that are refused together return one after another: each is told the time
 * at which the rate has covered those before it.
 */
export class ReturnLine {
  private units = 0;
  private atMs: number;

  constructor(nowMs: number) {
    this.atMs = nowMs;
  }

  /** How long those in the line take at a rate. */
  waitMs(perS: number, nowMs: number): number {
    this.advance(perS, nowMs);
    return (this.units * MS_PER_S) / perS;
  }

  /** Puts a caller at the end; those who find a full line are told its end. */
  add(units: number, perS: number, nowMs: number): void {
    this.advance(perS, nowMs);
    const fullUnits = (perS * MAX_RETRY_MS) / MS_PER_S;
    this.units = Math.max(this.units, Math.min(this.units + units, fullUnits));
  }

  private advance(perS: number, nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.atMs);
    this.atMs = Math.max(this.atMs, nowMs);
    this.units = Math.max(0, this.units - (perS * elapsedMs) / MS_PER_S);
  }
}
