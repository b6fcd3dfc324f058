const VERSION = Buffer.from('HTTP/1.');
const STATUS_LINE = /^HTTP\/1\.[01] [1-9]\d\d(?: [^\r]*)?\r$/;
/** A status line that is cut off, at the earliest within its status code. */
const CUT_STATUS_LINE = /^HTTP\/1\.[01] [1-9](?:\d(?:\d(?: [^\r]*)?)?)?\r?$/;
/** What follows `VERSION` in a status line that is cut off before its status code. */
const CUT_VERSION = /^HTTP\/1\.(?:[01] ?)?$/;
const FIELD_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[^\r]*\r$/;
const CUT_FIELD_LINE = /^(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+(?::[^\r]*)?)?\r?$/;
const STATUS_LINE_WITHIN = /HTTP\/1\.[01] [1-9]\d\d/;
/** A longer status line is taken for text of a body. */
const MAX_STATUS_LINE_BYTES = 512;
const LF = 10;

/**
 * Searches bytes for the heads of responses; examines each byte once. A head that is cut off counts
 * only at the end of the bytes, where the rest of it may still be under way.
 */
class ResponseHeadSearch {
  private lineFeed = -1;

  constructor(
    private readonly bytes: Buffer,
    private readonly markerNames: ReadonlySet<string>,
    /** True if the last bytes were received behind the body. */
    private readonly continuesBehindBody: boolean,
  ) {}

  /** True if a head with a marker field, or one that is cut off, starts before the position. */
  startsBefore(end: number): boolean {
    let position = this.bytes.indexOf(VERSION);
    while (position >= 0 && position < end) {
      const nextPosition = this.examine(position);
      if (nextPosition === undefined) return true;
      position = this.bytes.indexOf(VERSION, nextPosition);
    }
    return this.continuesBehindBody && this.endsWithPartOfVersion(end);
  }

  /** Returns undefined if such a head starts here, otherwise where to search on. */
  private examine(position: number): number | undefined {
    const searchOn = position + VERSION.length;
    const lineEnd = this.lineFeedAfter(position);
    const isCut = lineEnd < 0;
    const end = isCut ? this.bytes.length : lineEnd;
    if (end - position > MAX_STATUS_LINE_BYTES) return searchOn;
    const line = this.bytes.toString('latin1', position, end);
    if (isCut) {
      const isHead =
        CUT_STATUS_LINE.test(line) || (this.continuesBehindBody && CUT_VERSION.test(line));
      return isHead ? undefined : searchOn;
    }
    return STATUS_LINE.test(line) ? this.examineFields(lineEnd + 1) : searchOn;
  }

  /**
   * Returns where the field lines end without a marker; none of the status lines that start within
   * them needs to be examined.
   */
  private examineFields(from: number): number | undefined {
    let start = from;
    for (;;) {
      const lineEnd = this.lineFeedAfter(start);
      if (lineEnd < 0) {
        const isCutHead = CUT_FIELD_LINE.test(this.bytes.toString('latin1', start));
        return isCutHead ? undefined : start;
      }
      const name = FIELD_LINE.exec(this.bytes.toString('latin1', start, lineEnd))?.[1];
      if (name === undefined) return start;
      if (this.markerNames.has(name.toLowerCase())) return undefined;
      start = lineEnd + 1;
    }
  }

  private endsWithPartOfVersion(end: number): boolean {
    const { bytes } = this;
    for (let cutBytes = 1; cutBytes < VERSION.length; cutBytes += 1) {
      const start = bytes.length - cutBytes;
      if (start >= 0 && start < end && bytes.subarray(start).equals(VERSION.subarray(0, cutBytes)))
        return true;
    }
    return false;
  }

  /** Position of the next line feed, or -1; positions ask in ascending order. */
  private lineFeedAfter(position: number): number {
    if (this.lineFeed < position && this.lineFeed !== this.bytes.length) {
      const found = this.bytes.indexOf(LF, position);
      this.lineFeed = found < 0 ? this.bytes.length : found;
    }
    return this.lineFeed === this.bytes.length ? -1 : this.lineFeed;
  }
}

/**
 * True if the body contains the head of another response: one with a marker field at any position,
 * or one that is cut off by the end of the body or continues in the bytes that follow it. A
 * response that a sender cut short is filled with its next one in that way.
 *
 * @param markerNames names, in lower case, of fields by which responses of the sender are known
 * @param following bytes received behind the body
 */
export function containsResponseHead(
  body: Buffer,
  following: Buffer,
  markerNames: ReadonlySet<string>,
): boolean {
  const isFollowed = following.length > 0;
  const bytes = isFollowed ? Buffer.concat([body, following]) : body;
  return new ResponseHeadSearch(bytes, markerNames, isFollowed).startsBefore(body.length);
}

/** True if a reason phrase or field value contains a status line, as in a head that was cut off. */
export function containsStatusLine(text: string): boolean {
  return STATUS_LINE_WITHIN.test(text);
}
