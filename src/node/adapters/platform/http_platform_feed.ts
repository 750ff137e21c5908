/** Reads the platform's list of upstreams as JSON over HTTP. */
import {request} from 'undici';
import {z} from 'zod';
import {readBoundedJson} from '../../http/bounded_body.js';
import {createSingleUseAgent} from '../../http/single_use_agent.js';
import {asId, type UpstreamId} from '../../types/ids.js';
import {timeoutSignal} from '../../utils.js';
import {PlatformFeed, type ListedState} from './platform_feed.js';

const TIMEOUT_MS = 2_000;
const MAX_LIST_BYTES = 4 * 1024 * 1024;

const listSchema = z.record(z.string(), z.enum(['live', 'leaving', 'gone']));

/** Reads `GET /upstreams` of the platform. */
export class HttpPlatformFeed extends PlatformFeed {
  // The list bears no version, so an older one can't be told.
  private readonly agent = createSingleUseAgent(TIMEOUT_MS);

  /** `address` is `host:port`. */
  constructor(private readonly address: string) {
    super();
  }

  override async listUpstreams(): Promise<
    ReadonlyMap<UpstreamId, ListedState>
  > {
    const answer = await request(`http://${this.address}/upstreams`, {
      dispatcher: this.agent,
      signal: timeoutSignal(TIMEOUT_MS),
    });
    const listed = listSchema.parse(
      await readBoundedJson(answer.body, MAX_LIST_BYTES, this.address),
    );
    return new Map(
      Object.entries(listed).map(([id, state]) => [
        asId<UpstreamId>(id),
        state,
      ]),
    );
  }
}
