/** Reports what retry budgets count, while they decide on retries. */
import type {RetryBudget, RetryCounts} from './retry_budget.js';

/** Leaves out the budgets that have decided nothing since their last report. */
export class RetryReport {
  private readonly reported = new WeakMap<RetryBudget, number>();

  report(
    budget: RetryBudget,
    nowMs: number,
    write: (counts: RetryCounts) => void,
  ): void {
    const {decisions} = budget;
    if (decisions === (this.reported.get(budget) ?? 0)) return;
    this.reported.set(budget, decisions);
    write(budget.counts(nowMs));
  }
}
