/**
 * Seals the operator's configuration text where it holds keys of callers: it is kept
 * in the replicated log and its snapshots, and opened only to answer a read.
 */
import {
  createCipheriv,
  createDecipheriv,
  hkdfSync,
  randomBytes,
} from 'node:crypto';
import {gunzipSync, gzipSync} from 'node:zlib';
import {Result} from 'neverthrow';
import {toGatewayError, type GatewayError} from '../types/errors.js';
import type {RouteTable} from './route_table.js';

const CIPHER = 'aes-256-gcm';
const KEY_BYTES = 32;
const NONCE_BYTES = 12;
const TAG_BYTES = 16;
const KEY_PURPOSE = 'cyclamenfall route table source';
/** The text of a configuration is JSON, which cannot begin like this. */
const PREFIX = 'sealed-1:';

/** Seals and opens texts with a key that all control members derive alike. */
export class SourceSeal {
  private readonly key: Uint8Array;

  constructor(clusterSecret: string) {
    this.key = new Uint8Array(
      hkdfSync('sha256', clusterSecret, '', KEY_PURPOSE, KEY_BYTES),
    );
  }

  /** The table as it is stored. Without workspaces its text holds no keys. */
  sealed(table: RouteTable): RouteTable {
    return table.workspaces === undefined
      ? table
      : {...table, source: this.seal(table)};
  }

  /** The text as the operator sent it. */
  open({source, version}: RouteTable): Result<string, GatewayError> {
    return Result.fromThrowable(
      () => (source.startsWith(PREFIX) ? this.unseal(source, version) : source),
      thrown => toGatewayError(thrown, 'routes.open_source', 'self'),
    )();
  }

  private seal({source, version}: RouteTable): string {
    const nonce = randomBytes(NONCE_BYTES);
    const cipher = createCipheriv(CIPHER, this.key, nonce);
    cipher.setAAD(versionBytes(version));
    const text = Buffer.concat([
      cipher.update(gzipSync(source)),
      cipher.final(),
    ]);
    const bytes = Buffer.concat([nonce, cipher.getAuthTag(), text]);
    return `${PREFIX}${bytes.toString('base64')}`;
  }

  private unseal(source: string, version: number): string {
    const bytes = Buffer.from(source.slice(PREFIX.length), 'base64');
    const textStart = NONCE_BYTES + TAG_BYTES;
    const decipher = createDecipheriv(
      CIPHER,
      this.key,
      bytes.subarray(0, NONCE_BYTES),
    );
    decipher.setAAD(versionBytes(version));
    decipher.setAuthTag(bytes.subarray(NONCE_BYTES, textStart));
    const text = Buffer.concat([
      decipher.update(bytes.subarray(textStart)),
      decipher.final(),
    ]);
    return gunzipSync(text).toString('utf8');
  }
}

/** Binds a sealed text to its version. */
function versionBytes(version: number): Buffer {
  return Buffer.from(String(version));
}
