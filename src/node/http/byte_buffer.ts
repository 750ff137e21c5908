/**
 * Bytes that arrive in pieces, within a limit. A list of the pieces as they came
 * would cost some hundred bytes for each of them: a peer that sends one byte a
 * piece would fill the memory long before the limit of the bytes is reached.
 */

const MIN_BLOCK_BYTES = 1_024;
/**
 * A block doubles up to this size, then others follow: blocks that grow further would
 * be copied again and again, and leave gaps of all sizes in the memory of the process.
 */
const FULL_BLOCK_BYTES = 65_536;

/**
 * What a piece from an upstream counts beside its bytes: it costs processor time
 * however short it is, and a peer may send short ones without end.
 */
export const PIECE_COST_BYTES = 64;

export interface ByteBufferOptions {
  readonly maxBytes: number;
  /** Counted for each piece against the limit, beside its bytes. @default 0 */
  readonly bytesPerPiece?: number;
}

/** Copies the pieces into blocks. */
export class ByteBuffer {
  private blocks: Buffer[] = [];
  private blockBytes = 0;
  private sizeBytes = 0;
  private pieces = 0;
  private expectedBytes = 0;

  constructor(private readonly options: ByteBufferOptions) {}

  /** Number of bytes. */
  get length(): number {
    return this.sizeBytes;
  }

  /** Bytes of memory, with those that are not used yet. */
  get capacityBytes(): number {
    return this.blockBytes;
  }

  /** Takes all memory with the next piece if the sum of all is known. */
  expect(totalBytes: number): void {
    this.expectedBytes = Math.min(totalBytes, this.options.maxBytes);
  }

  /** Whether another piece keeps the limit. */
  isWithinLimit(pieceBytes: number): boolean {
    const {maxBytes, bytesPerPiece = 0} = this.options;
    const costBytes = (this.pieces + 1) * bytesPerPiece;
    return this.sizeBytes + pieceBytes + costBytes <= maxBytes;
  }

  /** What `capacityBytes` will be after another piece. */
  capacityWith(pieceBytes: number): number {
    const neededBytes = this.sizeBytes + pieceBytes;
    const {blockBytes} = this;
    if (neededBytes <= blockBytes) return blockBytes;
    if (neededBytes <= this.expectedBytes) return this.expectedBytes;
    const addedBytes = Math.min(
      FULL_BLOCK_BYTES,
      Math.max(MIN_BLOCK_BYTES, blockBytes),
    );
    const roomyBytes = Math.min(this.options.maxBytes, blockBytes + addedBytes);
    return Math.max(neededBytes, roomyBytes);
  }

  /** Adds a piece; returns false and drops all bytes above the limit. */
  append(piece: Uint8Array): boolean {
    if (!this.isWithinLimit(piece.length)) {
      this.clear();
      return false;
    }
    this.pieces += 1;
    const capacityBytes = this.capacityWith(piece.length);
    const freeBytes = this.blockBytes - this.sizeBytes;
    this.copyToLast(piece.subarray(0, freeBytes));
    if (capacityBytes > this.blockBytes) this.grow(capacityBytes);
    this.copyToLast(piece.subarray(freeBytes));
    return true;
  }

  /** The bytes so far; valid until the next piece is added. */
  view(): Buffer {
    if (this.blocks.length > 1) this.join(this.sizeBytes);
    return this.blocks[0]?.subarray(0, this.sizeBytes) ?? Buffer.alloc(0);
  }

  /** The last bytes, at most `count`, which must not exceed `FULL_BLOCK_BYTES`. */
  tail(count: number): Buffer {
    const freeBytes = this.blockBytes - this.sizeBytes;
    const ends = this.blocks.slice(-2).map((block, position, {length}) => {
      const isLast = position === length - 1;
      const used = isLast ? block.length - freeBytes : block.length;
      return block.subarray(Math.max(0, used - count), used);
    });
    return Buffer.concat(ends).subarray(-count);
  }

  /** Returns the bytes and starts anew. */
  take(): Buffer {
    const bytes = this.view();
    this.clear();
    return bytes;
  }

  private clear(): void {
    this.blocks = [];
    this.blockBytes = 0;
    this.sizeBytes = 0;
    this.pieces = 0;
  }

  // Only the last block has room.
  private copyToLast(bytes: Uint8Array): void {
    const last = this.blocks.at(-1);
    if (last === undefined || bytes.length === 0) return;
    last.set(bytes, last.length - (this.blockBytes - this.sizeBytes));
    this.sizeBytes += bytes.length;
  }

  private grow(capacityBytes: number): void {
    if (this.blockBytes < FULL_BLOCK_BYTES) {
      this.join(capacityBytes);
      return;
    }
    this.blocks.push(Buffer.allocUnsafe(capacityBytes - this.blockBytes));
    this.blockBytes = capacityBytes;
  }

  /** Copies all bytes into one block. */
  private join(capacityBytes: number): void {
    const joined = Buffer.allocUnsafe(capacityBytes);
    let copiedBytes = 0;
    this.blocks.forEach(block => {
      const bytes = block.subarray(0, this.sizeBytes - copiedBytes);
      joined.set(bytes, copiedBytes);
      copiedBytes += bytes.length;
    });
    this.blocks = [joined];
    this.blockBytes = capacityBytes;
  }
}
