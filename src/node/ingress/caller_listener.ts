/** The HTTP server of an entry for its callers, with the limits on what they send. */
import {createServer, type RequestListener, type Server} from 'node:http';
import {
  keepAllHeaderLines,
  SLOW_SENDER_CHECK_MS,
} from '../http/header_lines.js';
import {closeIdleConnections} from '../http/open_connections.js';
import {listen} from '../http/server.js';
import type {UnfinishedRequests} from '../http/unfinished_requests.js';
import type {CallerLimits} from '../routes/route_table.js';

const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
/** Above the limit of any route table, so that the latter applies first. */
const MAX_PARSER_HEADER_BYTES = 131_072;
const HIGH_WATER_MARK_BYTES = 65_536;

/** Accepts the connections of callers. */
export class CallerListener {
  private readonly server: Server;
  private currentLimits = DEFAULT_LIMITS;

  constructor(onRequest: RequestListener, unfinished?: UnfinishedRequests) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_PARSER_HEADER_BYTES,
        connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
        requestTimeout: 0,
        highWaterMark: HIGH_WATER_MARK_BYTES,
      },
      onRequest,
    );
    keepAllHeaderLines(this.server);
    unfinished?.watch(this.server);
    this.applyLimits(DEFAULT_LIMITS);
  }

  get limits(): CallerLimits {
    return this.currentLimits;
  }

  /** Starts to accept connections at `address`, `host:port`. */
  start(address: string): Promise<string> {
    return listen(this.server, address);
  }

  applyLimits(limits: CallerLimits): void {
    this.currentLimits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Closes connections without a request, so that callers open others. */
  closeIdle(): void {
    closeIdleConnections(this.server);
  }

  /** Closes the listener and all connections immediately. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
