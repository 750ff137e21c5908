/**
 * Bytes that arrive in pieces, within a limit. A list of the pieces as they came
 * would cost some hundred bytes for each of them: a peer that sends one byte a
 * piece would fill the memory long before the limit of the bytes is reached.
 */

const MIN_BLOCK_BYTES = 1_024;

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

  constructor(private readonly options: ByteBufferOptions) {}

  /** Number of bytes. */
  get length(): number {
    return this.sizeBytes;
  }

  /** Adds a piece; returns false and drops all bytes above the limit. */
  append(piece: Uint8Array): boolean {
    const {maxBytes, bytesPerPiece = 0} = this.options;
    const neededBytes = this.sizeBytes + piece.length;
    this.pieces += 1;
    if (neededBytes + this.pieces * bytesPerPiece > maxBytes) {
      this.clear();
      return false;
    }
    if (neededBytes > this.block.length) this.grow(neededBytes);
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

  private grow(neededBytes: number): void {
    const doubledBytes = Math.max(MIN_BLOCK_BYTES, 2 * this.block.length);
    const grown = Buffer.allocUnsafe(Math.max(neededBytes, doubledBytes));
    this.block.copy(grown, 0, 0, this.sizeBytes);
    this.block = grown;
  }
}
