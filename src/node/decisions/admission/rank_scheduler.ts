/**
 * Chooses the rank that gets the next slot: strictly by urgency, except that a
 * less urgent rank with a backlog earns credit, its floor share of all that is
 * assigned, and goes first once that covers its next request.
 */
import {MAX_CREDIT_REQUESTS} from './constants.js';

/** A rank with waiting requests. */
export interface BackloggedRank<Rank> {
  readonly rankId: Rank;
  /** Share guaranteed to it under a flood of other ranks. */
  readonly floorShare: number;
  /** Cost of its next request, in any unit that is the same for all ranks. */
  readonly headCost: number;
}

/** The credit of the ranks that compete for the same slots. */
export class RankScheduler<Rank> {
  private readonly credits = new Map<Rank, number>();

  /** The rank to serve next; `backlogged` is in order of urgency. */
  choose<Each extends BackloggedRank<Rank>>(
    backlogged: readonly Each[],
  ): Each | undefined {
    const [urgent, ...others] = backlogged;
    return others.find(each => this.creditOf(each) >= each.headCost) ?? urgent;
  }

  /** Updates the credits for one start of `chosen` among `backlogged`. */
  charge(
    chosen: BackloggedRank<Rank>,
    backlogged: readonly BackloggedRank<Rank>[],
  ): void {
    const [urgent, ...others] = backlogged;
    others.forEach(each => {
      const earned = each.floorShare * chosen.headCost;
      const paid = each === chosen ? chosen.headCost : 0;
      const limit = MAX_CREDIT_REQUESTS * each.headCost;
      const credit = Math.min(limit, this.creditOf(each) + earned - paid);
      this.credits.set(each.rankId, credit);
    });
    if (urgent !== undefined) this.credits.delete(urgent.rankId);
  }

  private creditOf(each: BackloggedRank<Rank>): number {
    return this.credits.get(each.rankId) ?? 0;
  }
}
