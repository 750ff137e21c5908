/** Transfer of snapshots in chunks, since messages must stay small. */
import type {MemberId} from '../types/ids.js';
import type {PeerReply, SnapshotRequest} from './core/messages.js';
import type {StoredSnapshot} from './replica_storage.js';

/** Outcome of a transfer: `index` is set if all chunks were accepted. */
export interface TransferResult {
  readonly reply?: PeerReply;
  readonly index?: number;
}

/** Sends a snapshot in messages with at most `chunkChars` of data each. */
export async function transferSnapshot(
  snapshot: StoredSnapshot,
  term: number,
  chunkChars: number,
  send: (chunk: SnapshotRequest) => Promise<PeerReply | undefined>,
): Promise<TransferResult> {
  let reply: PeerReply | undefined;
  for (const chunk of splitSnapshot(snapshot, term, chunkChars)) {
    reply = await send(chunk);
    // An error or a newer term ends the transfer.
    if (reply === undefined || reply.term > term) return {reply};
  }
  return {reply, index: snapshot.index};
}

function splitSnapshot(
  snapshot: StoredSnapshot,
  term: number,
  chunkChars: number,
): readonly SnapshotRequest[] {
  const {index, term: indexTerm, members, data} = snapshot;
  const count = Math.max(1, Math.ceil(data.length / chunkChars));
  return Array.from({length: count}, (_, position) => ({
    kind: 'snapshot',
    term,
    index,
    indexTerm,
    members: [...members],
    data: data.slice(position * chunkChars, (position + 1) * chunkChars),
    offset: position * chunkChars,
    isLast: position === count - 1,
  }));
}

/** Assembles the chunks of a snapshot that one leader sends. */
export class SnapshotAssembly {
  private key = '';
  private data = '';

  /**
   * Adds a chunk. Returns the complete snapshot after the last chunk, the chunk
   * itself before that, and `undefined` if an earlier chunk is missing.
   */
  add(from: MemberId, chunk: SnapshotRequest): SnapshotRequest | undefined {
    const key = [from, chunk.term, chunk.index].join(' ');
    if (chunk.offset === 0) {
      this.key = key;
      this.data = '';
    }
    if (key !== this.key || chunk.offset !== this.data.length) return undefined;
    this.data += chunk.data;
    if (!chunk.isLast) return chunk;
    const data = this.data;
    this.data = '';
    this.key = '';
    return {...chunk, data, offset: 0};
  }
}
