/** Which tasks of a job are done: a bit each, written out as ranges ("0-41,44"). */

/** A growing set of task indexes. */
export class DoneSet {
  private bits = new Uint8Array(0);
  private size = 0;
  /** Every index below this is done. */
  private lowestIncomplete = 0;

  /** How many tasks are done. */
  get count(): number {
    return this.size;
  }

  /** The lowest index that is not done. */
  get firstIncomplete(): number {
    return this.lowestIncomplete;
  }

  has(index: number): boolean {
    return ((this.bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  add(index: number): void {
    if (this.has(index)) return;
    const byteIndex = index >> 3;
    if (byteIndex >= this.bits.length) {
      const grown = new Uint8Array(Math.max(byteIndex + 1, this.bits.length * 2));
      grown.set(this.bits);
      this.bits = grown;
    }
    this.bits[byteIndex] = (this.bits[byteIndex] ?? 0) | (1 << (index & 7));
    this.size++;
    while (this.has(this.lowestIncomplete)) this.lowestIncomplete++;
  }

  /** All tasks of a job of this size. */
  addAll(size: number): void {
    for (let i = 0; i < size; i++) this.add(i);
  }

  /** The set as ranges in ascending order, as in "0-41" or "44". */
  ranges(): string[] {
    const ranges: string[] = [];
    const end = this.bits.length * 8;
    for (let i = 0; i < end; i++) {
      if (!this.has(i)) continue;
      let last = i;
      while (this.has(last + 1)) last++;
      ranges.push(last === i ? String(i) : `${i}-${last}`);
      i = last;
    }
    return ranges;
  }

  /** Adds ranges as {@link ranges} gives them, joined by commas. */
  addRanges(text: string): void {
    for (const part of text.split(',')) {
      if (part === '') continue;
      const [from, to] = part.split('-').map(Number);
      for (let i = from ?? 0; i <= (to ?? from ?? -1); i++) this.add(i);
    }
  }
}
