import { containsResponseHead, containsStatusLine } from '@daisyferry/http1/embedded-response';
import type { ResponseMessage } from '@daisyferry/http1/message';
import { fieldValues } from '@daisyferry/http1/message';
import { CarriedIds } from './carried-ids';
import type { ResponseFieldNames } from './classify-target-response';
import { DiscardReason, type DiscardReasonName } from './discarded-response';

/** Whether a response belongs to the request in progress. */
export type Attribution =
  | { readonly kind: 'own' }
  /** It names another request; the response to the one in progress may follow. */
  | { readonly kind: 'foreign' }
  /** It cannot be told what the response answers, nor where the next one starts. */
  | { readonly kind: 'unattributable'; readonly reason: DiscardReasonName };

/** Maximum number of responses to other requests on one connection. */
const MAX_FOREIGN_RESPONSES = 8;
const OWN: Attribution = { kind: 'own' };
const FOREIGN: Attribution = { kind: 'foreign' };

function unattributable(reason: DiscardReasonName): Attribution {
  return { kind: 'unattributable', reason };
}

/**
 * Attributes the responses on one connection to its requests, which are sent one at a time. Targets
 * may answer a request twice, the second time late, and may cut a response short.
 */
export class ResponseAttribution {
  private readonly markerNames: ReadonlySet<string>;

  /** Ids of all requests of the connection: a second response may come at any time. */
  private readonly carriedIds = new CarriedIds();

  private requestCount = 0;

  private foreignCount = 0;

  constructor(private readonly fieldNames: ResponseFieldNames) {
    this.markerNames = new Set([fieldNames.requestId, fieldNames.signature, fieldNames.notRun]);
  }

  /** True once the connection has carried a request before the present one. */
  get isReused(): boolean {
    return this.requestCount > 1;
  }

  /** True once the connection must carry no further request. */
  get isExhausted(): boolean {
    return this.requestCount >= CarriedIds.MAX_IDS;
  }

  /** True if a second response to an earlier request would be taken for that to this one. */
  hasCarried(requestId: string): boolean {
    return this.carriedIds.has(requestId);
  }

  recordRequest(requestId: string): void {
    this.requestCount += 1;
    this.carriedIds.add(requestId);
  }

  /**
   * @param requestId id of the request in progress; empty if its caller assigned none
   * @param following bytes received behind the response
   */
  attribute(requestId: string, response: ResponseMessage, following: Buffer): Attribution {
    const { reason, fields, body } = response;
    if (containsStatusLine(reason) || fields.some(containsStatusLine)) {
      return unattributable(DiscardReason.responseInHead);
    }
    if (containsResponseHead(body, following, this.markerNames)) {
      return unattributable(DiscardReason.responseInBody);
    }
    const ids = new Set(fieldValues(fields, this.fieldNames.requestId));
    if (ids.size > 1) return unattributable(DiscardReason.differingIds);
    const [responseId = ''] = ids;
    if (responseId === '') {
      // Without an id, the first response to the only request cannot be that of another one.
      const isOnlyRequest = this.requestCount === 1 && this.foreignCount === 0;
      return isOnlyRequest ? OWN : unattributable(DiscardReason.noId);
    }
    if (responseId === requestId) return OWN;
    this.foreignCount += 1;
    return this.foreignCount > MAX_FOREIGN_RESPONSES
      ? unattributable(DiscardReason.tooManyOtherRequests)
      : FOREIGN;
  }
}
