/** Upgrades authenticated connections of the inner listener to RPC streams. */
import {randomBytes} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Duplex} from 'node:stream';
import type {InstanceId} from '../types/ids.js';
import {
  AUTHENTICATION_HEADER,
  type CredentialVerifier,
} from './authentication.js';
import type {RpcContext} from './rpc.js';
import {NONCE_HEADER, STREAM_PATH, STREAM_PROTOCOL} from './stream_client.js';
import {createStreamKey, FrameReader, FrameWriter} from './stream_frames.js';

const NONCE_BYTES = 16;
const EMPTY_BODY = new Uint8Array();
const UNAUTHORIZED_RESPONSE =
  'HTTP/1.1 401 Unauthorized\r\nconnection: close\r\n\r\n';

export interface StreamServerOptions {
  readonly clusterSecret: string;
  readonly verifier: CredentialVerifier;
  /** Handles one parsed call; resolves with the JSON-RPC response. */
  readonly answer: (call: unknown, context: RpcContext) => Promise<unknown>;
}

/** Serves the streams of one inner listener. */
export class StreamServer {
  private readonly sockets = new Set<Duplex>();

  constructor(private readonly options: StreamServerOptions) {}

  /** Handles the `upgrade` event of the listener. */
  accept(request: IncomingMessage, socket: Duplex, head: Buffer): void {
    // The HTTP server no longer handles errors of a socket that is upgraded; the
    // peer detects the closed connection and opens a new one.
    socket.on('error', () => socket.destroy());
    const header = request.headers[AUTHENTICATION_HEADER];
    const credentials = typeof header === 'string' ? header : '';
    const sender = this.options.verifier.verify(
      credentials,
      STREAM_PATH,
      EMPTY_BODY,
    );
    const isStreamUpgrade =
      request.url === STREAM_PATH &&
      request.headers.upgrade === STREAM_PROTOCOL;
    if (sender === undefined || !isStreamUpgrade) {
      socket.end(UNAUTHORIZED_RESPONSE);
      return;
    }
    this.startStream(credentials, sender, socket, head);
  }

  /** Closes all streams. */
  close(): void {
    this.sockets.forEach(socket => socket.destroy());
    this.sockets.clear();
  }

  private startStream(
    credentials: string,
    sender: InstanceId,
    socket: Duplex,
    head: Buffer,
  ): void {
    const nonce = randomBytes(NONCE_BYTES).toString('hex');
    const key = createStreamKey(this.options.clusterSecret, credentials, nonce);
    const writer = new FrameWriter(socket, key, 'reply');
    const reader = new FrameReader(key, 'request', call => {
      void this.options
        .answer(call, {sender})
        .then(reply => writer.write(reply));
    });
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      try {
        reader.push(chunk);
      } catch {
        // An invalid MAC indicates a forged or modified frame.
        socket.destroy();
      }
    });
    socket.write(
      'HTTP/1.1 101 Switching Protocols\r\nconnection: Upgrade\r\n' +
        `upgrade: ${STREAM_PROTOCOL}\r\n${NONCE_HEADER}: ${nonce}\r\n\r\n`,
    );
    if (head.length > 0) socket.unshift(head);
  }
}
