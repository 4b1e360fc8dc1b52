package loadbalancer.scale.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the points of several series while an experiment goes through its sizes. */
public final class SeriesCollector {

  private final String sizeUnit;
  private final Map<String, Series> seriesByName = new LinkedHashMap<>();

  /**
   * Creates a collector without series.
   *
   * @param sizeUnit the unit of all sizes
   */
  public SeriesCollector(String sizeUnit) {
    this.sizeUnit = sizeUnit;
  }

  /** Adds a point to the series of this name, which its first point creates. */
  public void add(String name, String valueUnit, Basis basis, Point point) {
    seriesByName
        .computeIfAbsent(
            name, key -> new Series(name, sizeUnit, valueUnit, basis, new ArrayList<>()))
        .points()
        .add(point);
  }

  /** The series in the order of their first points. */
  public List<Series> series() {
    return seriesByName.values().stream()
        .map(
            series ->
                new Series(
                    series.name(),
                    series.sizeUnit(),
                    series.valueUnit(),
                    series.basis(),
                    List.copyOf(series.points())))
        .toList();
  }
}
