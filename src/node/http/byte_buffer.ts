/**
 * Bytes that arrive in pieces, within a limit. A list of the pieces as they came
 * would cost some hundred bytes for each of them: a peer that sends one byte a
 * piece would fill the memory long before the limit of the bytes is reached.
 */

const MIN_BLOCK_BYTES = 1_024;
/** Larger blocks grow by a quarter: doubled, they would take twice their bytes. */
const LARGE_BLOCK_BYTES = 262_144;
const LARGE_GROWTH = 1.25;

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

/** Copies the pieces into one block that grows. */
export class ByteBuffer {
  private block = Buffer.alloc(0);
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
    return this.block.length;
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
    const {length} = this.block;
    if (neededBytes <= length) return length;
    if (neededBytes <= this.expectedBytes) return this.expectedBytes;
    const factor = length >= LARGE_BLOCK_BYTES ? LARGE_GROWTH : 2;
    const roomyBytes = Math.min(
      this.options.maxBytes,
      Math.max(MIN_BLOCK_BYTES, Math.ceil(factor * length)),
    );
    return Math.max(neededBytes, roomyBytes);
  }

  /** Adds a piece; returns false and drops all bytes above the limit. */
  append(piece: Uint8Array): boolean {
    if (!this.isWithinLimit(piece.length)) {
      this.clear();
      return false;
    }
    const neededBytes = this.sizeBytes + piece.length;
    this.pieces += 1;
    const capacityBytes = this.capacityWith(piece.length);
    if (capacityBytes > this.block.length) this.grow(capacityBytes);
    this.block.set(piece, this.sizeBytes);
    this.sizeBytes = neededBytes;
    return true;
  }

  /** The bytes so far; valid until the next piece is added. */
  view(): Buffer {
    return this.block.subarray(0, this.sizeBytes);
  }

  /** Returns the bytes and starts anew. */
  take(): Buffer {
    const bytes = this.view();
    this.clear();
    return bytes;
  }

  private clear(): void {
    this.block = Buffer.alloc(0);
    this.sizeBytes = 0;
    this.pieces = 0;
  }

  private grow(capacityBytes: number): void {
    const grown = Buffer.allocUnsafe(capacityBytes);
    this.block.copy(grown, 0, 0, this.sizeBytes);
    this.block = grown;
  }
}
