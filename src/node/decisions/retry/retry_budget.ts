/**
 * Retry budgets: token buckets filled by first tries and drained by retries and
 * hedges, so that retries stay a small share of the load when many requests
 * fail at once.
 */
import type {WorkspaceId} from '../../types/ids.js';

/** Capacity of the bucket of an instance. */
const INSTANCE_MAX_TOKENS = 50;
/** Capacity of the bucket of a workspace. */
const WORKSPACE_MAX_TOKENS = 10;
/** Initial tokens, so that the first failures can be retried. */
const INITIAL_TOKENS = 3;

/** One token bucket. */
export class RetryBudget {
  private tokens: number;

  /** `share` is the number of retries allowed per first try. */
  constructor(
    private readonly share: number,
    private readonly maxTokens: number,
    initialTokens: number,
  ) {
    this.tokens = share === 0 ? 0 : Math.min(initialTokens, maxTokens);
  }

  recordFirstTry(): void {
    this.tokens = Math.min(this.maxTokens, this.tokens + this.share);
  }

  canSpend(): boolean {
    return this.tokens >= 1;
  }

  /** Takes one token if there is one. */
  trySpend(): boolean {
    if (!this.canSpend()) return false;
    this.tokens -= 1;
    return true;
  }
}

/** The budgets of one instance: its own and one per workspace. */
export class RetryBudgets {
  private readonly instance: RetryBudget;
  private readonly workspaces = new Map<WorkspaceId, RetryBudget>();

  /** `share` is `PolicyConfig.retryBudgetShare`. */
  constructor(private readonly share: number) {
    this.instance = new RetryBudget(share, INSTANCE_MAX_TOKENS, INITIAL_TOKENS);
  }

  recordFirstTry(workspaceId: WorkspaceId): void {
    this.instance.recordFirstTry();
    this.workspace(workspaceId).recordFirstTry();
  }

  canSpend(workspaceId: WorkspaceId): boolean {
    return this.instance.canSpend() && this.workspace(workspaceId).canSpend();
  }

  /** Takes one token of both budgets, or of neither. */
  trySpend(workspaceId: WorkspaceId): boolean {
    if (!this.canSpend(workspaceId)) return false;
    return this.instance.trySpend() && this.workspace(workspaceId).trySpend();
  }

  private workspace(workspaceId: WorkspaceId): RetryBudget {
    const known = this.workspaces.get(workspaceId);
    if (known !== undefined) return known;
    const created = new RetryBudget(
      this.share,
      WORKSPACE_MAX_TOKENS,
      INITIAL_TOKENS,
    );
    this.workspaces.set(workspaceId, created);
    return created;
  }
}
