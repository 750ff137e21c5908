/** The last capacity digest of a domain, and what was sent there since. */
import {LOAD_HORIZON_MS, PREFILL_TOKENS_PER_MS} from './constants.js';
import {heldTokens} from './hot_parts.js';
import type {DomainLoad, WorkSize} from './placement_cost.js';
import type {SentWork} from './sent_work.js';
import type {CapacityDigest, WorkItem} from './types.js';

export interface DigestRecord {
  readonly digest: CapacityDigest;
  readonly atMs: number;
  readonly sent: SentWork;
  /** Keys of the shared prompt parts that the domain holds. */
  readonly heldParts: ReadonlySet<string>;
}

/** What a request takes from the domain. */
export function sizeIn(
  {heldParts}: DigestRecord,
  {prompt}: WorkItem,
  slotMs: number,
): WorkSize {
  const tokens = prompt?.promptTokens ?? 0;
  const unread = Math.max(0, tokens - heldTokens(prompt, heldParts));
  return {slotMs, prefillMs: unread / PREFILL_TOKENS_PER_MS};
}

/**
 * The load of the domain with what was sent there since its digest. Each of
 * `senders` schedulers is taken to have sent as much as this one. `undefined`
 * if the digest has no load, as those of former versions.
 */
export function correctedLoad(
  {digest, sent}: DigestRecord,
  senders: number,
  nowMs: number,
): DomainLoad | undefined {
  const {load, slots = 0, upstreams} = digest;
  if (load === undefined || slots === 0) return undefined;
  const totals = sent.totals(nowMs);
  const perEngineMs = totals.prefillMs / Math.max(1, upstreams);
  return {
    slots: load.slots + (senders * totals.slots) / slots,
    prefill: load.prefill + (senders * perEngineMs) / LOAD_HORIZON_MS,
  };
}
