/**
 * Records with checksums. Layout, big endian: payload length (4 bytes),
 * CRC-32 of the payload (4), CRC-32 of these 8 bytes (4), payload (JSON).
 * The header has a checksum of its own, because a corrupted length would make a
 * record in the middle of the file look like a torn tail.
 */
import {crc32} from 'node:zlib';
import {GatewayError} from '../types/errors.js';

const HEADER_BYTES = 12;
const CHECKSUMMED_HEADER_BYTES = 8;

/** Encodes a value as one record. */
export function encodeRecord(value: unknown): Uint8Array {
  return encodeJson(JSON.stringify(value));
}

/** Encodes a JSON text as one record. */
export function encodeJson(json: string): Uint8Array {
  const payload = Buffer.from(json);
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  record.writeUInt32BE(payload.length, 0);
  record.writeUInt32BE(crc32(payload), 4);
  record.writeUInt32BE(crc32(record.subarray(0, CHECKSUMMED_HEADER_BYTES)), 8);
  payload.copy(record, HEADER_BYTES);
  return record;
}

/** The valid records at the start of a buffer, as JSON. */
export interface DecodedRecords {
  readonly jsons: readonly string[];
  /** Total size of the complete records; later bytes are a torn tail. */
  readonly sizeBytes: number;
}

/**
 * Decodes records up to the first incomplete or invalid one. A writer syncs
 * each record before it appends the next, so only the last one can be torn: an
 * invalid record before a valid one is `storage_damaged`.
 */
export function decodeRecords(
  bytes: Uint8Array,
  fileName: string,
): DecodedRecords {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const jsons: string[] = [];
  let offset = 0;
  for (;;) {
    const payload = payloadAt(buffer, offset);
    if (payload === undefined) break;
    jsons.push(payload.toString('utf8'));
    offset += HEADER_BYTES + payload.length;
  }
  if (hasRecordAfter(buffer, offset)) {
    throw storageDamaged(fileName, `invalid record at byte ${offset}`);
  }
  return {jsons, sizeBytes: offset};
}

/** Creates the error for a file whose synced content is corrupted. */
export function storageDamaged(fileName: string, reason: string): GatewayError {
  return new GatewayError({
    code: 'storage_damaged',
    message: `${fileName}: ${reason}; empty the folder to rejoin as a new member`,
    step: 'storage.load',
    peer: 'self',
  });
}

function payloadAt(buffer: Buffer, offset: number): Buffer | undefined {
  const start = offset + HEADER_BYTES;
  if (start > buffer.length) return undefined;
  const checked = buffer.subarray(offset, offset + CHECKSUMMED_HEADER_BYTES);
  if (crc32(checked) !== buffer.readUInt32BE(offset + 8)) return undefined;
  const end = start + buffer.readUInt32BE(offset);
  if (end > buffer.length) return undefined;
  const payload = buffer.subarray(start, end);
  const isValid = crc32(payload) === buffer.readUInt32BE(offset + 4);
  return isValid ? payload : undefined;
}

function hasRecordAfter(buffer: Buffer, offset: number): boolean {
  for (let start = offset + 1; start < buffer.length; start++) {
    if (payloadAt(buffer, start) !== undefined) return true;
  }
  return false;
}
