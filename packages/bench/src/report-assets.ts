import uplotScript from 'text:uplot/dist/uPlot.iife.min.js';
import uplotStyle from 'text:uplot/dist/uPlot.min.css';
import type { PageAssets } from './report-html';

/** The chart library, bundled so that the page works offline. */
export const pageAssets: PageAssets = { script: uplotScript, style: uplotStyle };
