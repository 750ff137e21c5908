import type {InstanceId} from '../types/ids.js';

/** The last request that an upstream completed successfully. */
export class LastAnswer {
  private answeredAtMs = Number.NEGATIVE_INFINITY;
  private entry: InstanceId | undefined;

  get atMs(): number {
    return this.answeredAtMs;
  }

  note(entry: InstanceId, nowMs: number): void {
    this.answeredAtMs = nowMs;
    this.entry = entry;
  }

  /** Whether it went to another entry than this one, since the given time. */
  isFromOther(entry: InstanceId | undefined, sinceMs: number): boolean {
    return this.answeredAtMs >= sinceMs && this.entry !== entry;
  }
}
