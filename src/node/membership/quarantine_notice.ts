/** Tells other domains of a quarantine at once, ahead of the summaries. */
import {monotonicNowMs} from '../clock/clock.js';
import {NOTICE_FANOUT, SUMMARY_TIMEOUT_MS} from './constants.js';
import {encodeQuarantine, ItemKind, type QuarantineEntry} from './items.js';
import {callWithRetry, type ResolvedOptions, type Send} from './messages.js';
import type {ActorState} from './round.js';
import {type GossipState, publish} from './state.js';
import {instancesByDomain, sample} from './summaries.js';
import {encodeQuarantineEntry, QUARANTINE_METHOD} from './wire.js';

/**
 * Sends an entry to some instances of each other domain, which spread it there.
 * Its receipt is left to the summaries: they repeat it, so that a lost notice
 * only delays it.
 */
export function sendQuarantineNotices(
  state: ActorState,
  entry: QuarantineEntry,
  options: ResolvedOptions,
  send: Send,
): void {
  const {domainId, random} = options;
  const params = {q: [encodeQuarantineEntry(entry)]};
  const byDomain = instancesByDomain(
    state.gossip,
    domainId,
    options.peers(),
    monotonicNowMs(),
  );
  [...byDomain.values()]
    .flatMap(instances => sample(instances, NOTICE_FANOUT, random))
    .forEach(({innerAddress}) => {
      void callWithRetry<object>(
        options,
        send,
        innerAddress,
        QUARANTINE_METHOD,
        params,
        SUMMARY_TIMEOUT_MS,
      ).unwrapOr({});
    });
}

/**
 * Publishes quarantine entries of another domain that are new or expire later.
 */
export function publishNewQuarantine(
  gossip: GossipState,
  entries: readonly QuarantineEntry[],
): GossipState {
  return entries
    .filter(entry => {
      const known = gossip.quarantine.get(entry.digest);
      return known === undefined || known.expiresAtMs < entry.expiresAtMs;
    })
    .reduce(
      (next, entry) =>
        publish(
          next,
          ItemKind.quarantine,
          entry.digest,
          encodeQuarantine(entry),
        ),
      gossip,
    );
}
