/**
 * Chooses the rank that gets the next slot: strictly by urgency, except that a
 * less urgent rank with a backlog earns credit, its floor share of all slot
 * time that is assigned, and goes first once that covers its next request.
 */
import type {RankId} from '../../types/ids.js';
import {MAX_CREDIT_REQUESTS} from './constants.js';
import type {AdmissionRank} from './types.js';

/** A rank with waiting requests. */
export interface BackloggedRank {
  readonly rank: AdmissionRank;
  readonly headCostMs: number;
}

/** The credit of the ranks of one instance, over all its pools. */
export class RankScheduler {
  private readonly credits = new Map<RankId, number>();

  /** The rank to serve next; `backlogged` is in order of urgency. */
  choose(backlogged: readonly BackloggedRank[]): BackloggedRank | undefined {
    const [urgent, ...others] = backlogged;
    return (
      others.find(each => this.creditOf(each) >= each.headCostMs) ?? urgent
    );
  }

  /** Updates the credits for one start of `chosen` among `backlogged`. */
  charge(chosen: BackloggedRank, backlogged: readonly BackloggedRank[]): void {
    const [urgent, ...others] = backlogged;
    others.forEach(each => {
      const earned = each.rank.floorShare * chosen.headCostMs;
      const paid = each === chosen ? chosen.headCostMs : 0;
      const limit = MAX_CREDIT_REQUESTS * each.headCostMs;
      const credit = Math.min(limit, this.creditOf(each) + earned - paid);
      this.credits.set(each.rank.rankId, credit);
    });
    if (urgent !== undefined) this.credits.delete(urgent.rank.rankId);
  }

  private creditOf(each: BackloggedRank): number {
    return this.credits.get(each.rank.rankId) ?? 0;
  }
}
