package loadbalancer.scale.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the points of a series and its fitted line as SVG. */
final class SeriesPlot {

  private static final int WIDTH_PIXELS = 800;
  private static final int HEIGHT_PIXELS = 500;

  private SeriesPlot() {}

  /**
   * Writes a plot.
   *
   * @param file the path of the plot, with or without the extension {@code .svg}
   * @throws IOException if the file cannot be written, or the system has no fonts
   */
  static void write(SeriesReport series, Path file) throws IOException {
    try {
      VectorGraphicsEncoder.saveVectorGraphic(
          chart(series), file.toString(), VectorGraphicsFormat.SVG);
    } catch (LinkageError | InternalError e) {
      // AWT's fonts need the native libraries fontconfig and freetype, and a font.
      throw new IOException("cannot draw " + file + ": " + e, e);
    }
  }

  private static XYChart chart(SeriesReport series) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(series.name())
            .xAxisTitle(series.sizeUnit())
            .yAxisTitle(series.valueUnit())
            .build();
    List<Double> sizes = series.points().stream().map(Point::size).toList();
    List<Double> values = series.points().stream().map(Point::value).toList();
    chart
        .addSeries(series.name(), sizes, values)
        .setXYSeriesRenderStyle(XYSeriesRenderStyle.Scatter);
    series.line().ifPresent(line -> addLine(chart, sizes, line));
    return chart;
  }

  private static void addLine(XYChart chart, List<Double> sizes, FittedLine line) {
    XYSeries plotted = chart.addSeries("fitted line", sizes, sizes.stream().map(line::at).toList());
    plotted.setXYSeriesRenderStyle(XYSeriesRenderStyle.Line);
    plotted.setMarker(SeriesMarkers.NONE);
  }
}
