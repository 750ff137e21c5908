/** Commands of the membership. Each is sent to the actor as one message. */
import type {ConfigVersion, UpstreamId} from '../types/ids.js';
import type {
  LoadReport,
  MemberState,
  ModelOffer,
  QuarantineEntry,
} from './items.js';
import type {Membership} from './membership.js';

/** Publishes a new state or configuration version of this instance. */
export function publishMemberState(
  membership: Membership,
  change: {
    readonly state?: MemberState;
    readonly configVersion?: ConfigVersion;
  },
): void {
  membership.send({kind: 'member', change});
}

/**
 * Replaces this instance's counts of requests in flight per upstream. The
 * counts are published at a limited rate, so this may be called after every
 * change.
 */
export function publishInFlight(
  membership: Membership,
  counts: ReadonlyMap<UpstreamId, number>,
): void {
  membership.send({kind: 'in_flight', counts});
}

/**
 * Publishes the load report of an upstream that this instance polls. The
 * report is withdrawn unless it is renewed before it expires.
 */
export function publishLoadReport(
  membership: Membership,
  report: LoadReport,
): void {
  membership.send({kind: 'load', report});
}

/** Quarantines a request in all domains. */
export function publishQuarantine(
  membership: Membership,
  entry: QuarantineEntry,
): void {
  membership.send({kind: 'quarantine', entry});
}

/**
 * Sets the model offers of this domain as computed by this instance. They
 * reach other domains only from the instances that build the summary; see
 * `MembershipView.buildsSummary`.
 */
export function publishOwnSummary(
  membership: Membership,
  offers: readonly ModelOffer[],
): void {
  membership.send({kind: 'offers', offers});
}

/** Declares that this instance accepts no more work. Gossip continues. */
export function leave(membership: Membership): void {
  publishMemberState(membership, {state: 'leaving'});
}
