/**
 * Decides which slow peers are let go when an entry holds too much for them: many
 * callers that take next to nothing of large responses, or that send all but the
 * end of large bodies, beside sound ones.
 */

/** A peer for which bytes are held, as last observed. */
export interface PeerView<Id> {
  readonly id: Id;
  /** Bytes that would be free without it. */
  readonly heldBytes: number;
  /** What it has taken or sent so far, and would lose. */
  readonly movedBytes: number;
  /** How fast it takes or sends what is due. */
  readonly bytesPerS: number;
  /** How long something has been due from it without a pause. */
  readonly observedMs: number;
}

/** A peer is not judged before this time: a sound one may stand still for a moment. */
export const OBSERVATION_MS = 3_000;
/**
 * Slower peers are slow, not sound: at this rate a body of 4 MiB takes more than
 * four minutes, which is beyond the time limit of any request.
 */
export const SOUND_BYTES_PER_S = 16_384;

/** Whether a peer was observed for long enough and moves next to nothing. */
export function isSlow({
  heldBytes,
  observedMs,
  bytesPerS,
}: PeerView<unknown>): boolean {
  const isObserved = heldBytes > 0 && observedMs >= OBSERVATION_MS;
  return isObserved && bytesPerS < SOUND_BYTES_PER_S;
}

/**
 * The peers to let go so that `neededBytes` are free: the slowest first, and of
 * equally slow ones those that lose the least. None if all slow ones together would
 * not do, or only sound ones are left.
 */
export function choosePeersToLetGo<Id>(
  peers: readonly PeerView<Id>[],
  neededBytes: number,
): readonly Id[] {
  const slow = peers
    .filter(isSlow)
    .sort(
      (left, right) =>
        left.bytesPerS - right.bytesPerS || left.movedBytes - right.movedBytes,
    );
  let freedBytes = 0;
  const chosen = slow.filter(({heldBytes}) => {
    const isNeeded = freedBytes < neededBytes;
    if (isNeeded) freedBytes += heldBytes;
    return isNeeded;
  });
  return freedBytes < neededBytes ? [] : chosen.map(({id}) => id);
}
