import uplotScript from 'text:uplot/dist/uPlot.iife.min.js';
import uplotStyle from 'text:uplot/dist/uPlot.min.css';
import type { PageAssets } from './report-html';

/** The chart library, taken into the bundle so that the page opens without a network. */
export const pageAssets: PageAssets = { script: uplotScript, style: uplotStyle };
